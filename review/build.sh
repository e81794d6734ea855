#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/build/; needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for program in standin/case*.cpp; do
    name=$(basename "$program" .cpp)
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -Istandin -o "build/$name" "$program" standin/platform.cpp
done
