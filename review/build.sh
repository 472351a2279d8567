#!/usr/bin/env bash
# Builds every stand-in that the scripts start, into target/review.
set -euo pipefail
cd "$(dirname "$0")/standin"
export CARGO_TARGET_DIR=../../target/review
# What the deploy file builds has fetched all libraries.
cargo build --release --offline --locked || cargo build --release --locked
