#!/bin/bash
# Builds the stand-ins and the drivers of the scripts of the second review. They use the standard
# library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standins-2/Cargo.toml \
    --target-dir target/review-2
