#!/usr/bin/env bash
# Runs clang-tidy over the project's .cpp files that match the given pattern (all
# by default). A file whose result is known for the same preprocessed input and
# settings is not checked again; results are kept in the user's cache folder.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
cache=${TIDY_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/carawaylatch-tidy}
mkdir -p "$cache"
export build cache
lint_one() {
    # clang 14 knows coroutines but does not say so, and libstdc++ and Asio ask for the macros.
    local coroutines=(--extra-arg=-D__cpp_impl_coroutine=201902L --extra-arg=-D__cpp_lib_coroutine=201902L
        --extra-arg=-DBOOST_ASIO_HAS_CO_AWAIT=1 --extra-arg=-DBOOST_ASIO_HAS_STD_COROUTINE=1 --extra-arg=-Wno-builtin-macro-redefined --extra-arg=-Wno-macro-redefined)
    local key
    key=$( (cat .clang-tidy; clang-tidy --version; cat "$1"; g++ -std=c++20 -I. -MM "$1" 2>/dev/null | tr -d '\\' | tr ' ' '\n' | grep -v -e ':$' -e '^$' | sort -u | xargs cat) | sha256sum | cut -d' ' -f1)
    if [ -e "$cache/$key" ]; then
        return 0
    fi
    if clang-tidy --quiet -p "$build" "${coroutines[@]}" "$1" 2>"$cache/$$.err"; then
        touch "$cache/$key"
    else
        grep -E 'error:' "$cache/$$.err" || true
        echo "clang-tidy failed: $1"
        return 1
    fi
}
export -f lint_one
scripts/sources.sh "${1:-.}" | grep '\.cpp$' | xargs -r -P "$(nproc)" -I{} bash -c 'lint_one {}'
