#!/usr/bin/env bash
# Builds the stand-ins of the second review, for the scripts review/N/run.sh. Needs no network.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/stand-ins-2/Cargo.toml --target-dir target/review-2
