#!/usr/bin/env bash
# Compares all policies on the same arrivals: both deployments, loads 0.9 and 1.2, ten seeds.
# Writes one JSON file for each run to docs/crowd and rewrites the tables of
# docs/design/admission.md. Takes about ten minutes.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --bin magnoliawinch
for seed in $(seq 1 10); do
    for deployment in peachtree lo-presti; do
        for load in 0.9 1.2; do
            echo "$deployment $load $seed"
        done
    done
done | xargs -P "${JOBS:-3}" -L 1 bash -c './target/release/magnoliawinch experiment crowd --json \
    --deployment "$0" --load "$1" --seed "$2" > "docs/crowd/$0-$1-$2.json"'
./target/release/magnoliawinch experiment crowd-table
