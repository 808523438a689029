#!/usr/bin/env bash
# A configuration splits routes by weights in parts of 1,000,000,000. With TROUBLE=0 by weights in parts of 100.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/pierhaven ] && [ -x target/review-standin ] || exit 2
exec target/review-standin weights review/2/record.txt
