#!/usr/bin/env bash
# Builds the stand-ins of the scripts of REPORT-3.md.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3/ ./review/standins-3
