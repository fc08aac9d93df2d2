#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10. The daemons are built by the
# build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-standin-2 ./review/standin2
