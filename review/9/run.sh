#!/usr/bin/env bash
# A model replica that doesn't drop a request when its channel closes preempts requests in the
# middle of their streams. TROUBLE=0: the same without the preemption.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-standin-2 twice . review/9/record.txt
