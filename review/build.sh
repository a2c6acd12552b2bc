#!/usr/bin/env bash
# Builds the programs of the cases into target/review/. Needs rustc and the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for name in quota refusal crash; do
    rustc -O --edition 2024 -o "target/review/$name" "review/standin/$name.rs"
done
