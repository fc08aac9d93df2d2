#!/usr/bin/env bash
# Requests of a route with a chain of three stages omit the second one.
# TROUBLE=0: the same requests with all stages.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-standin-2 omit . review/8/record.txt
