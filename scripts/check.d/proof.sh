#!/usr/bin/env bash
# Every test that docs/PROOF.md names exists: "FILE `test` `test`".
set -euo pipefail
cd "$(dirname "$0")/../.."
missing=0
count=0
file=
while read -r word; do
    case $word in
    *test.cpp) file=$(find ./carawaylatch ./platform ./tools -path "*/$word" | head -1) ;;
    '`test'*)
        name=$(tr -d '`' <<<"$word")
        count=$((count + 1))
        if [ -z "$file" ] || ! grep -q "CPPUNIT_TEST($name)" "$file"; then
            echo "docs/PROOF.md names $name, which ${file:-no test file} does not hold"
            missing=$((missing + 1))
        fi
        ;;
    esac
done < <(grep -oE '[a-z]+/testing/[a-z]+test\.cpp|`test[A-Za-z]+`' docs/PROOF.md)
echo "$count tests named in docs/PROOF.md, $missing missing"
[ "$missing" = 0 ] && [ "$count" -gt 0 ]
