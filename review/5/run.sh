#!/usr/bin/env bash
# Kills the agent beside a backend that has just been added, before the second heartbeat. With
# TROUBLE=0 it is not killed. Exits with 1 if FLOW was broken, 0 if it held, 2 if it couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/platform ] && [ -x target/review-standin ] || { echo "build target/platform and run review/build.sh first"; exit 2; }
exec target/review-standin young "$here/record.txt"
