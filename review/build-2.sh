#!/bin/sh
# Builds the stand-ins of the second review with the system's C++ compiler and no library beside the standard one.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/standins-2/case*.cpp; do
  name="$(basename "$source" .cpp)"
  "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -o "build/review-2/$name" "$source"
done
