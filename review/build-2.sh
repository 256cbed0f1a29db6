#!/usr/bin/env bash
# Builds the stand-ins and drivers of the second review's scripts into target/review-2, without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go test -c -o target/review-2/kit ./review/testdata/kit2
