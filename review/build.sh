#!/bin/sh
# Builds the stand-ins of all cases into build/review/. Needs only what the deploy build needs: a C++20 compiler and
# nlohmann-json.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review
for source in review/[0-9]/case.cpp; do
  number="$(basename "$(dirname "$source")")"
  "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -o "build/review/case$number" "$source"
done
