#!/usr/bin/env bash
# Runs a whole deployment on loopback and takes requests through it.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --workspace --all-targets --locked
exec target/debug/demo
