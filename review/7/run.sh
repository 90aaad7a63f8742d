#!/bin/sh
# FLOW: a manifest moves a route to another service and no longer declares the former one.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# out the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program="$root/target/review-2/review-2"
[ -x "$program" ] && [ -x "$root/target/release/hyssopdyked" ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
"$program" flows "$root" "$folder" "$here/record.txt"
