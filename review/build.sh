#!/bin/sh
# Builds the program that plays the cases, with the stand-ins that it starts. The build of the deploy file comes first.
set -eu
cd "$(dirname "$0")/.."
exec go build -trimpath -tags review -o bin/review-harness ./review/harness
