#!/bin/sh
# Builds the stand-ins of the cases, with the Rust tool chain alone.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for name in standins/*.rs; do
  name=$(basename "$name" .rs)
  [ "$name" = common ] && continue
  rustc --edition 2021 -O -o "bin/$name" "standins/$name.rs"
done
