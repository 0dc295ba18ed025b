#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
../../target/review-2/harness rolled-back record.txt
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
