#!/bin/sh
# Builds the stand-ins that the cases start, below target/. Needs no network.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standins/Cargo.toml --target-dir target/review
