#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/15. The daemons are built by the
# build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-standin-3 ./review/standin3
