#!/usr/bin/env bash
# Measures what control costs at several sizes, writes the figures to docs/capacity and rewrites
# the tables of docs/CAPACITY.md. Takes about ten minutes; leave the machine alone meanwhile.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --bin magnoliawinch
run() {
    local name=$1
    shift
    echo "$name"
    ./target/release/magnoliawinch experiment control --json --seconds 10 "$@" \
        > "docs/capacity/$name.json.new"
    mv "docs/capacity/$name.json.new" "docs/capacity/$name.json"
}
# Two runs at a time would disturb each other.
for n in 9 25 50 100 200; do run "daemons-$n" --daemons "$n" --changes-a-second 0; done
for n in 10 100 500 2000; do
    run "upstreams-$n" --daemons 25 --upstreams "$n" --changes-a-second 0
done
for c in 0.2 1 3 10; do run "changes-$c" --daemons 25 --changes-a-second "$c"; done
for k in 10 1000 3000 6000; do
    run "organisations-$k" --daemons 9 --organisations "$k" --changes-a-second 0.9
done
for r in 30 100 300; do
    run "requests-$r" --daemons 9 --requests-a-second "$r" --changes-a-second 0
done
./target/release/magnoliawinch experiment capacity
