#!/bin/sh
# Model servers spoil one byte of one answer each; the gateways that plan the expert maps read them.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/harness spoiled review/2
