#!/usr/bin/env bash
# Lists the project's hand-written C++ files: sources.sh [PATTERN]
cd "$(dirname "$0")/.."
git ls-files --cached --others --exclude-standard '*.cpp' '*.h' | grep -v -E '\.pb\.h$' | grep -E "${1:-.}"
