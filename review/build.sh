#!/usr/bin/env bash
# Builds the stand-ins of the review. The build of the deploy file comes first.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/review-standin ./review/_standin
