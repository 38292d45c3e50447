#!/usr/bin/env bash
# Installs the package, takes the example out of the README, builds it against the package and runs it.
set -euo pipefail
root=$1 build=$2
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cmake --install "$build" --prefix "$work/prefix" >/dev/null
sed -n '/^```cpp$/,/^```$/p' "$root/README.md" | sed '1d;$d' >"$work/example.cpp"
flags=""
grep -q 'QUOTA_GATEWAY_SANITIZE:BOOL=ON' "$build/CMakeCache.txt" && flags="-fsanitize=address,undefined"
cmake -S "$root/tests/embed" -B "$work/build" -DCMAKE_PREFIX_PATH="$work/prefix" \
  -DEXAMPLE="$work/example.cpp" -DCMAKE_CXX_FLAGS="$flags" >/dev/null
cmake --build "$work/build" >/dev/null
"$work/build/embed"
