#!/bin/sh
# The store is silent for eight seconds, five times; six seconds after each, servers leave without a word.
# With TROUBLE=0 the same runs without the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/harness outage review/5
