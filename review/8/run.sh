#!/bin/sh
# Runs the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/_standin2 ] && [ -x target/firplank-proxy ] && [ -x target/firplank-control ] || {
    echo "build first: the build line of deploy/system.toml, then review/build-2.sh" >&2
    exit 2
}
exec target/review-2/_standin2 zero review/8/record.txt
