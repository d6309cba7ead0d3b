#!/bin/sh
# Builds the stand-ins and scenarios of the cases 4 to 8, without a network, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline \
    --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
