#!/usr/bin/env bash
# A short soak of the gateway with a fixed seed; scripts/soak.sh runs others.
cd "$(dirname "$0")/../.."
if scripts/soak.sh "${SEED:-20261204}" 40 4 24; then
    echo "1 passed, 0 failed"
else
    echo "0 passed, 1 failed"
    exit 1
fi
