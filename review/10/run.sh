#!/bin/sh
# Plays the case: exit code 0 if the rule was kept, 1 if it was broken, 2 if it couldn't run.
# With TROUBLE=0 it is played without the disruption. It takes about 15 s.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/platform ] && [ -x review/standin-2/target/standin-2 ] || exit 2
exec review/standin-2/target/standin-2 foreign-heartbeat "$PWD/target/platform" "$PWD/review/10/record.txt"
