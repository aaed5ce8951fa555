#!/bin/sh
# Builds the stand-in that the scripts of the cases start.
cd "$(dirname "$0")/.." && go build -o target/standin ./review/standin
