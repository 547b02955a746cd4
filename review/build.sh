#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, which use the standard library alone. Their sources
# have names that the project's own tests of its Go files don't take in.
set -euo pipefail
cd "$(dirname "$0")/.."
sources=target/review-sources
rm -rf "$sources"
mkdir -p "$sources"
cp review/standin/go.mod "$sources"
for file in review/standin/*.go.txt; do
	cp "$file" "$sources/$(basename "$file" .txt)"
done
cd "$sources"
GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o ../review-standin .
