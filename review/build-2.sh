#!/bin/sh
# Builds the stand-ins of cases 6 to 10 into target/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/standin-2/case*.cpp; do
    name=$(basename "$case" .cpp)
    g++ -std=c++20 -O2 -Wall -Wextra -pthread "$case" -o "target/review-2/$name"
done
