#!/usr/bin/env bash
# Runs the scenario of the case folder FOLDER: run-2.sh FOLDER. Exits with 0 if the rule held, 1 if it was
# broken, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$1" && pwd) || exit 2
root=$(cd "$(dirname "$0")/.." && pwd)
program="$root/build-review-2/case-$(basename "$folder")"
command=$(sed -n 's/^run = "\(.*\)"[^"]*$/\1/p' "$root/deploy/balancer.toml")
if [ ! -x "$program" ] || [ ! -x "$root/build/quota_gateway" ] || [ -z "$command" ]; then
  echo "build first: the build command of deploy/balancer.toml, then review/build-2.sh" >&2
  exit 2
fi
timeout --signal=KILL 115 "$program" "$command" "$root" "$folder"
result=$?
[ "$result" -le 1 ] || exit 2
exit "$result"
