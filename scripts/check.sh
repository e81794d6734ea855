#!/usr/bin/env bash
# The whole check: formatter, build, linter, tests, sanitizer tests. Each step
# prints how long it took; the last line is "N passed, N failed" over all tests.
set -uo pipefail
cd "$(dirname "$0")/.."
# Compiler results are shared between checkouts: paths below this folder don't count.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
steps_failed=0
: >build-check.log
# Modules whose parts share state between threads.
THREADED_MODULES='base|store|proxy|gateway|prefix|upstreams|admission|relay|peer|http|router|telemetry'
step() {
    local name=$1
    shift
    local start=$SECONDS
    echo "== $name"
    if "$@" 2>&1 | tee -a build-check.log; then
        echo "== $name: ok, $((SECONDS - start)) s"
    else
        echo "== $name: FAILED, $((SECONDS - start)) s"
        steps_failed=$((steps_failed + 1))
    fi
}
build() {
    local dir=$1
    shift
    cmake -G Ninja -S . -B "$dir" -DCMAKE_CXX_COMPILER_LAUNCHER=ccache "$@" >"$dir.cmake.log" 2>&1 || { cat "$dir.cmake.log"; return 1; }
    cmake --build "$dir" 2>&1 | grep -E 'error|warning|FAILED|ninja:'
    return "${PIPESTATUS[0]}"
}
# Benches and tools are built once, without sanitizers.
build_tests() {
    build "$@" -DCARAWAYLATCH_TESTS_ONLY=ON
}
tests() {
    ctest --test-dir "$1" --output-on-failure -j "$(nproc)" "${@:2}"
}
step "format" scripts/format.sh --check
step "build" build build
step "lint" scripts/lint.sh
step "tests" tests build
step "build with address and undefined-behaviour sanitizers" build_tests build-asan -DCARAWAYLATCH_SANITIZE=address,undefined -DCMAKE_BUILD_TYPE=Debug
step "tests with address and undefined-behaviour sanitizers" tests build-asan
step "build with thread sanitizer" build_tests build-tsan -DCARAWAYLATCH_SANITIZE=thread -DCMAKE_BUILD_TYPE=Debug
step "tests with thread sanitizer" tests build-tsan -R "^($THREADED_MODULES)$"
# Of the orders, the suites that start threads; the others explore states on one.
for suite in OrderExecutorTest OrderRecordStoreTest; do
    step "orders with thread sanitizer: $suite" build-tsan/test-orders --known-red KNOWN-RED.txt --only "$suite"
done
for script in scripts/check.d/*.sh; do
    [ -e "$script" ] && step "$(basename "$script" .sh)" bash "$script"
done
if grep -q . KNOWN-RED.txt 2>/dev/null; then
    echo "== known red, passed over:"
    cat KNOWN-RED.txt
fi
passed=$(grep -oE '^[0-9]+ passed' build-check.log | awk '{n += $1} END {print n + 0}')
failed=$(grep -oE '^[0-9]+ passed, [0-9]+ failed' build-check.log | awk '{n += $3} END {print n + 0}')
tests_total=$(grep -cE ' Test +#[0-9]+: .*Passed' build-check.log)
rm -f build-check.log
echo "$((passed + tests_total)) passed, $((failed + steps_failed)) failed"
[ "$steps_failed" = 0 ] && [ "$failed" = 0 ]
