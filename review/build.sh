#!/bin/sh
# Builds the stand-ins of the review cases. The cases also need the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/_standin
