#!/usr/bin/env bash
# Builds every stand-in that the scripts start, into target/review.
set -euo pipefail
cd "$(dirname "$0")/standin"
CARGO_TARGET_DIR=../../target/review cargo build --release --offline --locked
