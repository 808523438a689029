#!/usr/bin/env bash
# A core machine freezes for 5 s while the replacement of another one is under way; later a third one loses its disk. With
# TROUBLE=0 no machine freezes.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/pierhaven ] && [ -x target/review-standin ] || exit 2
exec target/review-standin members review/1/record.txt
