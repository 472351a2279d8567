#!/bin/sh
# Builds the stand-ins of the scripts in review/11 and later, with the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
exec rustc --edition 2021 -O -o target/review-3/standin review/standin-3/main.rs
