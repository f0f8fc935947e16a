#!/bin/bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2, with the Rust compiler and its standard library
# alone. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/case.rs; do
    number=$(basename "$(dirname "$source")")
    rustc --edition 2021 -C opt-level=2 -o "target/review-2/case-$number" "$source"
done
