#!/usr/bin/env bash
# A manifest adds a route whose stages are not listed in the order of their dependencies,
# takes a key away and moves a route. TROUBLE=0: the same with the stages in order.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-standin-2 order . review/9/record.txt
