#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without
# the disruption.
here=$(cd "$(dirname "$0")" && pwd)
REVIEW_ROOT=$(cd "$here/../.." && pwd)
export REVIEW_ROOT
program="$REVIEW_ROOT/target/review/case$(basename "$here")"
[ -x "$program" ] && [ -x "$REVIEW_ROOT/target/bin/sailgate-gateway" ] || exit 2
exec "$program" "$here/record.txt"
