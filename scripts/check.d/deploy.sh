#!/usr/bin/env bash
# The build line of the deploy file makes the gateway, and the gateway reads settings.
set -euo pipefail
cd "$(dirname "$0")/../.."
line=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
bash -c "$line" >deploy-build.log 2>&1 || { tail -20 deploy-build.log; exit 1; }
rm -f deploy-build.log
settings=$(mktemp)
trap 'rm -f "$settings"' EXIT
cat >"$settings" <<'INI'
[gateway]
id = 127.0.0.1
failure_domain = a
callers = 127.0.0.1:1
operators = 127.0.0.1:2
[store]
address = 127.0.0.1:3
INI
target/carawaylatch-gateway --settings "$settings" --check
