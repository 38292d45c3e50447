#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/6 to review/10, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for source in review/[0-9]*/scenario.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -Ireview/standins-2 "$source" -o "build-review-2/case-$number" -pthread
done
