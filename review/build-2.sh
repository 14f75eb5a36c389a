#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 and what plays them: one program, without dependencies.
# The build of the deploy file has to have run before: the cases start its program.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/lab review/stand-in-2/main.rs
