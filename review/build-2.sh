#!/bin/sh
# Builds the stand-ins that the scripts of review/6 and the following cases start. They use the standard library only.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
out="$root/target/review-2"
mkdir -p "$out"
for scene in poison_left; do
    rustc -O --edition 2021 -A dead_code "$root/review/standin-2/$scene.rs" -o "$out/$scene"
done
