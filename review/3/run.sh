#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/hyssopdyked ] && [ -x target/review/standin ] || exit 2
target/review/standin crash review/3/record.txt
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
