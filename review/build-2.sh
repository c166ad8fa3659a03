#!/bin/sh
# Builds the stand-ins that the scripts of the second review start, into target/. Their sources end
# in .txt, since they speak with the names of the platform, which the product's Go files outside
# platform/ must not have. They need nothing but the standard library.
set -eu
cd "$(dirname "$0")/.."
trap 'rm -rf target/review-2-source' EXIT
rm -rf target/review-2-source
mkdir -p target/review-2-source
for f in review/stand-ins-2/*.txt; do
  name=$(basename "$f" .txt)
  cp "$f" "target/review-2-source/$name"
done
(cd target/review-2-source && GOWORK=off GOFLAGS="-mod=mod -buildvcs=false" GOTOOLCHAIN=local CGO_ENABLED=0 go build -o ../review-2 .)
