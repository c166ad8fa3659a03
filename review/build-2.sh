#!/bin/sh
# Builds the stand-ins that the scripts of the second review start, into target/.
set -eu
cd "$(dirname "$0")/stand-ins-2"
GOWORK=off GOFLAGS=-mod=mod CGO_ENABLED=0 go build -o ../../target/review-2 .
