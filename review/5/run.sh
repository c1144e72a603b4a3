#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/anvilpoint ] && [ -x target/review-standin ] || exit 2
exec target/review-standin late-order "review/5/record.txt"
