#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/REPORT-2.md start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2-standins ./review/standins-2
go build -o target/review-2-more ./review/standins-2-more
