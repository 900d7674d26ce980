#!/bin/sh
# Builds the stand-ins of the scripted cases: those of cases 1 to 3, and those of cases 4 and 5. Needs the compiler
# only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/harness review/stand_ins/main.rs
rustc --edition 2021 -O -o target/review/review-case review/stand_ins_second/main.rs
