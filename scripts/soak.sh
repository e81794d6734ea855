#!/usr/bin/env bash
# Soak: gateways under series of signals, restarts, changes and faults that overlap, while callers keep their connections.
#
#   scripts/soak.sh SEED [SECONDS [GATEWAYS [CALLERS]]]
#
# Prints the findings of carawaylatch-soak; KEEP=FOLDER keeps the gateways' logs of a run with findings.
# With OLD_BUILD=FOLDER two builds run side by side: OLD=odd (default): each second gateway runs the program of that folder;
# OLD=first: each gateway runs it until its first restart; OLD=later: from its first restart on.
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
SEED=$1
DURATION=${2:-30}
GATEWAYS=${3:-4}
CALLERS=${4:-24}
FOLDER=$(mktemp -d)
# An own network for each run, so that several may run at once.
NETWORK=127.$((1 + $$ % 250)).$((1 + $$ / 250 % 250))

program() { # N STARTS: the program of the gateway's next process, after so many
    local old
    case "${OLD:-odd}" in
    odd) old=$(($1 % 2)) ;;
    first) old=$(($2 == 0)) ;;
    later) old=$(($2 > 0)) ;;
    *) echo "OLD is odd, first or later" >&2 && return 1 ;;
    esac
    if [ -n "${OLD_BUILD:-}" ] && [ $old = 1 ]; then
        echo "$OLD_BUILD/carawaylatch-gateway"
    else
        echo "$BUILD/carawaylatch-gateway"
    fi
}
program 0 0 >/dev/null || exit 2

supervise() { # N
    local base=$FOLDER/gateway-$1 address=$NETWORK.$((10 + $1)) process starts
    cat >"$base.ini" <<INI
[gateway]
id = $address
failure_domain = z$(($1 % 3))
callers = $address:7001
operators = $address:7002
peers = $address:7003
relay = $address:7004
grace_seconds = 6
[store]
address = $NETWORK.1:7100
[configuration]
max_age_ms = 5000
[upstreams]
leave_within_ms = 2000
INI
    : >"$base.log"
    while [ ! -e "$FOLDER/stop" ]; do
        starts=$(grep -c GatewayStarted "$base.log")
        "$(program "$1" "$starts")" --settings "$base.ini" >>"$base.log" 2>&1 &
        process=$!
        echo $process >"$base.pid.new" && mv "$base.pid.new" "$base.pid"
        # The end of the run may have read the former id.
        [ -e "$FOLDER/stop" ] && kill -KILL $process
        wait $process
        echo "$? $(($(grep -c GatewayStarted "$base.log") - starts))" >>"$base.exits"
        sleep 0.2
    done
}

"$BUILD/carawaylatch-soak" --seed="$SEED" --seconds="$DURATION" --gateways="$GATEWAYS" --callers="$CALLERS" --network="$NETWORK" --folder="$FOLDER" &
soak=$!
for ((i = 0; i < GATEWAYS; ++i)); do
    supervise "$i" 2>/dev/null &
done
wait $soak
status=$?
touch "$FOLDER/stop"
for file in "$FOLDER"/gateway-*.pid; do
    kill -KILL "$(cat "$file")" 2>/dev/null
done
wait
# What the gateways log of their planned stops, added up.
awk '/E2405 GatewayStopped/ { ++stops; for (i = 3; i <= NF; ++i) if (split($i, field, "=") == 2) sum[field[1]] += field[2] }
     END { printf "%d stops logged: backlog=%d unused=%d late=%d partial=%d cut=%d\n", stops, sum["backlog"], sum["unused"], sum["late"], sum["partial"], sum["cut"] }' "$FOLDER"/gateway-*.log
[ "$status" != 0 ] && [ -n "${KEEP:-}" ] && mkdir -p "$KEEP" && cp -r "$FOLDER" "$KEEP/seed-$SEED"
rm -rf "$FOLDER"
exit $status
