#!/bin/bash
# Builds the stand-ins and clients of the cases. They use no library, and nothing of the project.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standins/Cargo.toml \
    --target-dir target/review
