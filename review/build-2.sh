#!/bin/sh
# Builds the stand-ins of cases 6 and above.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/slow_readers review/standins-2/slow_readers.rs
