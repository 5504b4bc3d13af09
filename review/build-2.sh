#!/bin/sh
# Builds the stand-ins of the second review's cases into target/review-2/, from the root of the repository or anywhere in it.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/ ./review/_standin2
