#!/bin/sh
# Builds the stand-ins of the cases into target/review/, from the root of the repository or anywhere in it.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/standin ./review/_standin
