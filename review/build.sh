#!/bin/sh
# Builds the stand-ins of the cases into target/review. Needs rustc and nothing else.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standins/*.rs; do
    name=$(basename "$source" .rs)
    if [ "$name" != common ]; then
        rustc --edition 2024 -O -o "target/review/$name" "$source"
    fi
done
