#!/usr/bin/env bash
# Builds the stand-ins of the review into target/review. Their sources carry the suffix .txt,
# since they speak the users' protocol, whose names scripts/boundary.sh allows in Go files of
# platform/ only. They use nothing but the standard library.
set -eu
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
for file in review/standin/*.txt; do
  cp "$file" "$folder/$(basename "$file" .txt)"
done
mkdir -p target
out=$PWD/target/review
cd "$folder"
GOWORK=off GOFLAGS=-buildvcs=false GOTOOLCHAIN=local go build -o "$out" .
