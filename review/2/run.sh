#!/bin/sh
# Plays this case; see claim.txt. Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin ] && [ -x target/firplank-proxy ] && [ -x target/firplank-control ] || exit 2
exec target/review/standin early-answer . review/2/record.txt
