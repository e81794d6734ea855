#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
here=review/6
if [ ! -x target/carawaylatch-gateway ] || [ ! -x target/review-2/case6 ]; then
    echo "build the deploy file and run review/build-2.sh first"
    exit 2
fi
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
target/review-2/case6 target/carawaylatch-gateway "$folder" "$here/record.txt" "${TROUBLE:-1}"
