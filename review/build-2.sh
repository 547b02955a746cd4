#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/4 to review/8 start. It needs only the Go tool chain. The
# sources end in .go.txt, since the test of internal/architecture takes each Go file of the tree for one of
# the product's.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cp review/standin-2/go.mod "$folder"
for source in review/standin-2/*.go.txt; do
	cp "$source" "$folder/$(basename "$source" .txt)"
done
GOWORK=off GOTOOLCHAIN=local GOFLAGS=-buildvcs=false go -C "$folder" build -o "$PWD/target/review-2/world" .
