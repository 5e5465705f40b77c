#!/usr/bin/env bash
# Builds the stand-ins that the cases start. Needs no network: they have no dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/stand-ins/Cargo.toml --target-dir target/review
