#!/usr/bin/env bash
# Measures what control costs at several sizes, writes the figures to docs/capacity and rewrites
# the tables of docs/CAPACITY.md. Needs root: each run has a network namespace of its own, so that
# JOBS runs at a time do not count each other's bytes. Takes about four minutes.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --bin magnoliawinch
measure() {
    local name=$1
    shift
    unshare -n sh -c 'ip link set lo up && exec "$@"' sh \
        ./target/release/magnoliawinch experiment control --json --seconds 10 "$@" \
        > "docs/capacity/$name.json"
    echo "$name"
}
export -f measure
{
    for n in 200 100 50 25 9; do echo "daemons-$n --daemons $n --changes-a-second 0"; done
    for n in 10 100 500 2000; do
        echo "upstreams-$n --daemons 25 --upstreams $n --changes-a-second 0"
    done
    for c in 0.2 1 3 10; do echo "changes-$c --daemons 25 --changes-a-second $c"; done
    for k in 10 1000 3000 6000; do echo "organisations-$k --daemons 9 --organisations $k"; done
    for r in 30 100 300; do
        echo "requests-$r --daemons 9 --requests-a-second $r --changes-a-second 0"
    done
} | xargs -P "${JOBS:-4}" -L 1 bash -c 'measure "$@"' measure
./target/release/magnoliawinch experiment capacity
