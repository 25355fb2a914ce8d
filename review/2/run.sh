#!/bin/sh
# Plays the case. It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 it does
# the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/catalogue-server ] && [ -x bin/review-harness ] || exit 2
exec bin/review-harness lost review/2
