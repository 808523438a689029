#!/bin/sh
# Builds every stand-in that the scripts of review/4 to review/6 start, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
exec go build -o target/review-2 ./review/standin-2
