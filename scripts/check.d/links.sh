#!/usr/bin/env bash
# Every relative link of a Markdown page leads to a file.
set -euo pipefail
cd "$(dirname "$0")/../.."
broken=0
count=0
while IFS=: read -r page link; do
    target=${link#](}
    target=${target%%[)#]*}
    case $target in '' | http*) continue ;; esac
    count=$((count + 1))
    if [ ! -e "$(dirname "$page")/$target" ]; then
        echo "$page links to $target, which does not exist"
        broken=$((broken + 1))
    fi
done < <(git ls-files '*.md' | xargs grep -oE '\]\([^)]+\)' /dev/null)
echo "$count links, $broken broken"
[ "$broken" = 0 ] && [ "$count" -gt 0 ]
