#!/usr/bin/env bash
# Runs the soak with daemons of an earlier commit beside those of this checkout, on one store: hosts are
# replaced one after the other, forth and back, while faults are injected and callers keep their
# connections. Fails if a seed does; prints what it violated. Needs no network beyond cargo's cache.
#
# usage: scripts/soak-two-builds.sh COMMIT [SEED...]; default seeds: 1 to 8
# SOAK_SECONDS (20) is the length of each seed, SOAK_DAEMONS (3) the number of hosts, and SOAK_OPTIONS is
# passed on: "--timed" on an idle machine, "--present-settings FILE" for parts that the settings switch on,
# in sections that the earlier build need not know. Logs of failed seeds stay in the system's temporary folder.
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
commit=$(git rev-parse --short --verify "${1:?usage: $0 COMMIT [SEED...]}^{commit}")
shift
checkout=$root/target/builds/$commit
if [ ! -d "$checkout" ]; then
    git worktree prune
    git worktree add --detach "$checkout" "$commit"
fi
(cd "$checkout" && CARGO_TARGET_DIR=$root/target/builds/target-$commit \
    cargo build --release --locked --offline -p magnoliawinch-platform --bin magnoliawinch-edge)
other=$root/target/builds/target-$commit/release/magnoliawinch-edge
cargo test --release --locked --offline -p magnoliawinch-platform --test soak --no-run
read -ra options <<< "${SOAK_OPTIONS:-}"
if [ $# -eq 0 ]; then set -- 1 2 3 4 5 6 7 8; fi
failed=()
for seed in "$@"; do
    cargo test --quiet --release --locked --offline -p magnoliawinch-platform --test soak -- \
        --seed "$seed" --seconds "${SOAK_SECONDS:-20}" --daemons "${SOAK_DAEMONS:-3}" \
        --other-build "$other" ${options[@]+"${options[@]}"} || failed+=("$seed")
done
echo "beside $commit: ${#failed[@]} seeds failed: ${failed[*]:-none}"
[ ${#failed[@]} -eq 0 ]
