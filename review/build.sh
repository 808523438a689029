#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start: one program, with a verb for each case.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
