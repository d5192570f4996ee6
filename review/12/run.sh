#!/bin/sh
# A balancer that restarted beside a lost one lags behind a new configuration. Exits with 1 if rule FLOW was
# broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 plays the same without the loss.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
[ -x "$root/target/platform" ] && [ -x "$root/target/standin-3" ] || { echo "not built"; exit 2; }
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec timeout -k 5 110 "$root/target/standin-3" -repo "$root" -record "$here/record.txt" -trouble="$trouble" lag
