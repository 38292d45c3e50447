#!/bin/sh
# Runs the driver of one case: run-case.sh FOLDER DRIVER. Called by each case's run.sh.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$1" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
driver=$root/review/bin/$2
REVIEW_RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")
[ -n "$REVIEW_RUN" ] && [ -x "$driver" ] && [ -x "$root/build/quota_gateway" ] || exit 2
export REVIEW_RUN
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
cd "$root" || exit 2
timeout -k 1 115 "$driver" "$temporary" "$folder/record.txt"
code=$?
[ "$code" = 0 ] || [ "$code" = 1 ] || code=2
exit $code
