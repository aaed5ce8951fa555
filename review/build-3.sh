#!/bin/sh
# Builds what the scripts of the third review start beside the system's own program.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-3/ ./review/rig3
