#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review; standard library only. The daemon itself is
# built by the command of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/harness-2 review/harness-2/main.rs
