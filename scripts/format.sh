#!/usr/bin/env bash
# Formats all sources, or with --check fails on those that are not formatted.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
if [ "${1:-}" = --check ]; then
    mode=(--dry-run -Werror)
fi
scripts/sources.sh | xargs -r -P "$(nproc)" -n 8 clang-format "${mode[@]}"
