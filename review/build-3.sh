#!/bin/sh
# Builds the stand-ins of the cases with scripts into target/review-3. Needs the Rust compiler alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standin-3/case*.rs; do
    rustc -O --edition 2024 -o "target/review-3/$(basename "$source" .rs)" "$source"
done
