#!/usr/bin/env bash
# Renders docs/EVENTS.md from the event catalogue.
set -euo pipefail
cd "$(dirname "$0")/.."
"${BUILD_DIR:-build}"/carawaylatchctl events >docs/EVENTS.md
