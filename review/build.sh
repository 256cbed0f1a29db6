#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases. They are a test binary: only tests may name the platform's headers outside its packages.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go test -c -buildvcs=false -o target/review/lab ./review/testdata/lab
