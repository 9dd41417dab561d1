#!/bin/sh
# Builds the stand-ins of the cases of this review, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-3 ./review/_probe
