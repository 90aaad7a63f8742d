#!/bin/sh
# Builds the stand-ins of the review's scripts into target/review. Uses the toolchain only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin review/standin/main.rs
