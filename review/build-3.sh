#!/usr/bin/env bash
# Builds the rig of the cases 11 to 15 with its stand-ins, without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/rig-3 cargo build --quiet --release --locked --offline \
    --manifest-path review/rig-3/Cargo.toml
