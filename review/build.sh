#!/bin/bash
# Builds the stand-ins of the cases with the compiler alone; they use nothing but its standard library.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
built=bin/review-case
if [ -x "$built" ] && [ -z "$(find standins -name '*.rs' -newer "$built")" ]; then
    exit 0
fi
rustc --edition 2024 -O -o "$built.new" standins/main.rs
mv "$built.new" "$built"
