# Starts and stops a small fleet on loopback addresses, for the demo and for
# tests with real processes. Sourced; needs BUILD (folder of the programs).
#
# Every process binds ephemeral ports and prints where it listens; logs and
# settings are in $FLEET, which is removed at the end.

set -u
BUILD=${BUILD:-build}
FLEET=$(mktemp -d)
declare -A PID ADDRESS OPERATORS PEERS DOMAIN
PEER_KEY=$(printf 'demo-key-%s' "$RANDOM$RANDOM$RANDOM$RANDOM")

# fleet_spawn NAME COMMAND...: starts a process, its output in $FLEET/NAME.log.
fleet_spawn() {
    local name=$1
    shift
    : >"$FLEET/$name.log"
    "$@" >>"$FLEET/$name.log" 2>>"$FLEET/$name.err" &
    PID[$name]=$!
    disown
}

# fleet_listening NAME: waits for the "listening" line and returns it.
fleet_listening() {
    local line i
    for i in $(seq 1 200); do
        line=$(grep -m1 '^listening ' "$FLEET/$1.log" 2>/dev/null) && { echo "${line#listening }"; return 0; }
        kill -0 "${PID[$1]}" 2>/dev/null || break
        sleep 0.05
    done
    echo "$1 did not start:" >&2
    cat "$FLEET/$1.err" "$FLEET/$1.log" >&2
    return 1
}

# fleet_standin NAME IP KIND FLAGS...: starts a stand-in, sets ADDRESS[NAME].
fleet_standin() {
    local name=$1 ip=$2 kind=$3
    shift 3
    fleet_spawn "$name" "$BUILD/carawaylatch-standin" "$kind" "--listen=$ip:${FLEET_PORT:-0}" "$@"
    ADDRESS[$name]=$(fleet_listening "$name") || exit 1
}

# fleet_router NAME IP DOMAIN: starts a router seeded with those that run.
fleet_router() {
    local name=$1 ip=$2 domain=$3 seeds='' it line
    for it in "${!PEERS[@]}"; do
        [ "$it" = "$name" ] || seeds="$seeds${seeds:+, }${PEERS[$it]}"
    done
    cat >"$FLEET/$name.ini" <<EOF
[router]
id = $name
failure_domain = $domain
[callers]
address = $ip
port = ${CALLERS_PORT:-0}
max_streams = 128
[operators]
address = $ip
port = ${OPERATORS_PORT:-0}
[peers]
address = $ip
port = ${PEERS_PORT:-0}
key = $PEER_KEY
${seeds:+seeds = $seeds}
[platform]
address = ${ADDRESS[platform]%:*}
port = ${ADDRESS[platform]##*:}
timeout = ${PLATFORM_TIMEOUT:-1s}
[timings]
drain_lag = ${DRAIN_LAG:-500ms}
EOF
    fleet_spawn "$name" "$BUILD/carawaylatchd" --settings "$FLEET/$name.ini"
    line=$(fleet_listening "$name") || exit 1
    line=$(tr ' ' '\n' <<<"$line")
    ADDRESS[$name]=$(sed -n 's/^callers=//p' <<<"$line")
    OPERATORS[$name]=$(sed -n 's/^operators=//p' <<<"$line")
    PEERS[$name]=$(sed -n 's/^peers=//p' <<<"$line")
    DOMAIN[$name]=$domain
}

# fleet_restart_router NAME: starts a router again at its former ports.
fleet_restart_router() {
    local name=$1
    CALLERS_PORT=${ADDRESS[$name]##*:} OPERATORS_PORT=${OPERATORS[$name]##*:} PEERS_PORT=${PEERS[$name]##*:} \
        fleet_router "$name" "${ADDRESS[$name]%:*}" "${DOMAIN[$name]}"
}

# fleet_ready NAME...: waits until each router is ready.
fleet_ready() {
    local name i
    for name in "$@"; do
        for i in $(seq 1 200); do
            curl -sf -o /dev/null "http://${OPERATORS[$name]}/readyz" && continue 2
            sleep 0.05
        done
        echo "$name is not ready: $(curl -s "http://${OPERATORS[$name]}/readyz")" >&2
        return 1
    done
}

# fleet_kill NAME SIGNAL: signals a process started here.
fleet_kill() {
    kill -"$2" "${PID[$1]}" 2>/dev/null
}

# fleet_wait_end NAME: waits until a process has ended.
fleet_wait_end() {
    local i
    for i in $(seq 1 600); do
        kill -0 "${PID[$1]}" 2>/dev/null || return 0
        sleep 0.05
    done
    return 1
}

# fleet_end: ends all processes and removes the folder.
fleet_end() {
    local name
    for name in "${!PID[@]}"; do
        kill -CONT "${PID[$name]}" 2>/dev/null
        kill -KILL "${PID[$name]}" 2>/dev/null
    done
    if [ -n "${KEEP_FLEET:-}" ]; then
        echo "logs are in $FLEET"
    else
        rm -rf "$FLEET"
    fi
}
trap fleet_end EXIT
trap 'exit 130' INT TERM

# fleet_counter NAME FIELD: a number out of a stand-in's /admin/counters.
fleet_counter() {
    curl -s "http://${ADDRESS[$1]}/admin/counters" | grep -oE "\"$2\":[0-9]+" | grep -oE '[0-9]+$'
}
