#!/usr/bin/env bash
# Measures the slopes that docs/CAPACITY.md uses. Takes about 15 minutes on 10 cores.
set -euo pipefail
cd "$(dirname "$0")/.."

echo "== control: bytes, processor time and memory per process at 25, 100 and 400 processes"
go test ./internal/load/controlbench -count=1 -run MeasureScale -v -timeout 20m -control.measure
echo "== control at 3,070 processes"
go test ./internal/load/controlbench -count=1 -run MeasureScale -v -timeout 20m -control.measure -control.processes 3070
echo "== publish until in force everywhere, 22 processes, 20% of messages lost"
go test ./internal/load/controlbench -count=1 -run MeasurePublish -v -timeout 20m -control.measure
echo "== record of target size: whole push, patch, parse"
go test ./internal/record -count=1 -run Pushes -v
go test ./internal/record -run xxx -bench ParseTargetSize -benchtime 10x -cpu 1
echo "== routing per request at 16, 48 and 192 linked replicas; admission per item at 10, 70 and 280 accounts"
go test ./internal/decide/routing ./internal/decide/admission -run xxx -bench 'Pick|Item' -cpu 1
echo "== expert maps: switch at 8, 32, 128 and 256 ranks; plan of a layer"
go test ./internal/decide/expertmap -count=1 -run Figures -v -timeout 20m -group.ranks 256
go test ./internal/decide/expertbalance -run xxx -bench Layer -cpu 1
echo "== relay: processor time per token and time added to the first token"
binary=$(mktemp -d)/anvilpoint
go build -o "$binary" ./cmd/anvilpoint
for streams in 270 540 1080; do
  go run ./internal/load/relaybench --binary "$binary" --streams "$streams"
done
