#!/bin/sh
# Model servers spoil one byte of one answer each; the gateways that plan the expert maps read them.
# With TROUBLE=0 the same runs without the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/harness spoiled review/2
