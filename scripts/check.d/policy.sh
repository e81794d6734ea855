#!/usr/bin/env bash
# The policy bench on a short run: the decision code before fake engines in virtual
# time, held to the targets that a short run can show.
cd "$(dirname "$0")/../.."
"${BUILD:-build}/policybench" --quick
