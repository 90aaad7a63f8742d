#!/bin/sh
# Builds the stand-ins of the cases 11 to 15, with the compiler alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/standin-3 review/standin-3/main.rs
