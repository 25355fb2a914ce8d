#!/bin/sh
# Builds the programs of the cases of the second review, after the build of deploy/balancer.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
CGO_ENABLED=1 go build -trimpath -ldflags=-linkmode=external -o bin/review-harness2 ./review/harness2
