#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves
# the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
[ -x target/review/endlessbody ] && [ -x target/bluebell-gateway ] || exit 2
tmp=$(mktemp -d) || exit 2
trap 'rm -rf "$tmp"' EXIT
timeout -k 5 110 target/review/endlessbody target "$tmp" "$here/record.txt" "${TROUBLE:-1}"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
