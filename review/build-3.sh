#!/usr/bin/env bash
# Builds what the scripts of the third review start. The project's own program is built as the
# deploy file says.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/world3 ./review/_world3
