#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15, which use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2021 -O -o target/review-3/stand-in review/stand-in-3/main.rs
