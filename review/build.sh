#!/bin/sh
# Builds the stand-ins of the cases, after the build of the deploy file. They need the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
rustc --edition 2024 -C opt-level=2 -o target/review-standin review/standin/main.rs
