#!/bin/sh
# Builds the drivers of the cases, with their stand-ins, into review/bin. Needs what the project's build needs.
set -e
cd "$(dirname "$0")"
mkdir -p bin
for source in [0-9]*/case*.cpp; do
  [ -e "$source" ] || continue
  name=$(basename "$source" .cpp)
  g++ -std=c++20 -O1 -Wall -Wextra -Istandins "$source" -o "bin/$name" -pthread
done
