#!/bin/sh
# Builds the stand-ins of all cases into target/review, without any dependency.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc -O --edition 2021 -o target/review/review-case review/stand/main.rs
