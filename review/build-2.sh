#!/bin/sh
# Builds the stand-ins of the second review's scripts. It needs no network: they use Go's standard
# library only.
set -eu
cd "$(dirname "$0")/standin-2"
mkdir -p target
GOWORK=off GOTOOLCHAIN=local GOFLAGS=-buildvcs=false go build -o target/standin-2 .
