#!/bin/sh
# Builds the stand-ins of the scripted cases. Needs the compiler only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/harness review/stand_ins/main.rs
