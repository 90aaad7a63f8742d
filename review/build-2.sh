#!/bin/sh
# Builds the stand-ins of the second review's scripts. Needs rustc only; run it after the build of
# the deploy file.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target/review-2"
rustc --edition 2024 -O "$root/review/standin-2/main.rs" -o "$root/target/review-2/review-2"
