#!/bin/sh
# Builds the stand-in that the scripts of the third review start, into target/.
set -e
cd "$(dirname "$0")/standin-3"
mkdir -p ../../target
GOWORK=off exec go build -o ../../target/standin-3 .
