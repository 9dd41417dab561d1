#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/6 to review/8 start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/_standin
