#!/bin/sh
# Builds every stand-in that the scripts of cases 6 to 10 start.
set -e
cd "$(dirname "$0")"
cargo build --release --offline --locked --manifest-path rig-2/Cargo.toml
