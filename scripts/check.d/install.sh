#!/usr/bin/env bash
# Installs into a temporary folder, builds the examples against the installed tree
# by CMake and one by pkg-config, and runs them.
set -euo pipefail
cd "$(dirname "$0")/../.."
build=${BUILD:-build}
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cmake --install "$build" --prefix "$folder/usr" >"$folder/install.log" || { cat "$folder/install.log"; exit 1; }
cmake -G Ninja -S examples -B "$folder/examples" -DCMAKE_PREFIX_PATH="$folder/usr" -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >"$folder/cmake.log" || { cat "$folder/cmake.log"; exit 1; }
cmake --build "$folder/examples" >"$folder/build.log" || { cat "$folder/build.log"; exit 1; }
for name in placement orderexecutor; do
    echo "-- $name"
    "$folder/examples/$name"
done
libdir=$(dirname "$(find "$folder/usr" -name carawaylatch.pc)")
export PKG_CONFIG_PATH="$libdir"
# --define-prefix moves the paths of the file to the temporary folder.
# shellcheck disable=SC2046
g++ -o "$folder/placement" examples/placement.cpp $(pkg-config --define-prefix --static --cflags --libs carawaylatch)
echo '#include <carawaylatch/router.h>
int main() { return carawaylatch::parseSettings("", "none") ? 1 : 0; }' >"$folder/manual.cpp"
# shellcheck disable=SC2046
g++ -o "$folder/manual" "$folder/manual.cpp" $(pkg-config --define-prefix --static --cflags --libs carawaylatch)
"$folder/manual"
echo "-- placement, by pkg-config"
"$folder/placement"
"$folder/usr/bin/carawaylatchctl" --version
