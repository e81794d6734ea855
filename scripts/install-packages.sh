#!/usr/bin/env bash
# Installs the Debian packages of packages.txt that are missing; needs root only then.
set -euo pipefail
cd "$(dirname "$0")"
mapfile -t packages < <(grep -v '^#' packages.txt)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f '${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ ${#missing[@]} -eq 0 ]; then
    exit 0
fi
if [ "$(id -u)" != 0 ]; then
    echo "missing packages: ${missing[*]}; run as root: apt-get install -y ${missing[*]}" >&2
    exit 1
fi
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends "${missing[@]}"
