#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out. Needs the build of the deploy file and review/build-3.sh.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/bluebell-gateway ] && [ -x target/review-3/standin ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout 100 target/review-3/standin refused-after-run target/bluebell-gateway "$folder" "$here/record.txt"
outcome=$?
[ "$outcome" -le 1 ] || outcome=2
exit "$outcome"
