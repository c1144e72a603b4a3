#!/bin/sh
# Plays the case; see claim.txt. Needs the build of the deploy file and review/build-2.sh.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/anvilpoint ] || [ ! -x target/review-2-world ]; then
	echo "target/anvilpoint or target/review-2-world is missing" >&2
	exit 2
fi
exec target/review-2-world new-prompt review/7
