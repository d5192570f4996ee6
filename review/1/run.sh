#!/usr/bin/env bash
# Changes the configuration to a version that is a date with a serial number. With TROUBLE=0 the
# version is the next one. Exits with 1 if CONFIG was broken, 0 if it held, 2 if it couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/platform ] && [ -x target/review-standin ] || { echo "build target/platform and run review/build.sh first"; exit 2; }
exec target/review-standin version "$here/record.txt"
