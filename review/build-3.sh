#!/usr/bin/env bash
# Builds the stand-in of the third review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/standin3 ./review/_standin3
