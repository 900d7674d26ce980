#!/bin/sh
# The store is silent for eight seconds, five times; six seconds after each, servers leave without a word.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/harness outage review/5
