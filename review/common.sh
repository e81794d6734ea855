# Parts that the scripts of the cases share: an own loopback network, gateways as the deploy file starts them, their end.
# A script sets CASE_FOLDER and RECORD before it sources this file.
REVIEW=$(cd "$CASE_FOLDER/.." && pwd)
ROOT=$(cd "$REVIEW/.." && pwd)
TROUBLE=${TROUBLE:-1}
export TROUBLE
printf 'review/%s/run.sh, TROUBLE=%s\n' "$(basename "$CASE_FOLDER")" "$TROUBLE" >"$RECORD" || exit 2
WORK=$(mktemp -d)
NETWORK=127.$((1 + $$ % 250)).$((1 + $$ / 250 % 250))
PIDS=()

finish() {
    for pid in "${PIDS[@]}"; do
        kill -CONT "$pid" 2>/dev/null
        kill -KILL "$pid" 2>/dev/null; wait "$pid" 2>/dev/null
    done
    wait 2>/dev/null
    rm -rf "$WORK"
}
trap finish EXIT

# The settings that deploy/gateway.ini gives for the small deployment (`fleetbench wire gbsa.toml`).
settings() { # N ZONE
    cat >"$WORK/gateway-$1.ini" <<INI
[gateway]
id = $NETWORK.$((10 + $1))
failure_domain = $2
callers = $NETWORK.$((10 + $1)):8782
operators = $NETWORK.$((10 + $1)):8789
metrics = $NETWORK.$((10 + $1)):9464
peers = $NETWORK.$((10 + $1)):7340
relay = $NETWORK.$((10 + $1)):7355
memory_mb = 165
grace_seconds = 8

[store]
address = $NETWORK.1:8784

[retries]
share = 0.2
reserve = 54

[configuration]
max_age_ms = 5000

[upstreams]
leave_within_ms = 2000

[weights]
change_within_ms = 8000
lease_ms = 3000

INI
}

# Starts a gateway with the command and the variable of the deploy file.
start_gateway() { # N ZONE
    settings "$1" "$2"
    (cd "$ROOT" && exec env CARAWAYLATCH_NODE_FILE="$WORK/gateway-$1.ini" target/carawaylatch-gateway) >"$WORK/gateway-$1.log" 2>&1 &
    PIDS+=($!)
    echo $! >"$WORK/gateway-$1.pid"
}

# Runs the stand-in of the case beside N gateways in zones dakar-a, dakar-b, dakar-c; exits with its verdict.
run_case() { # PROGRAM GATEWAYS
    [ -x "$ROOT/target/carawaylatch-gateway" ] && [ -x "$REVIEW/build/$1" ] || {
        echo "not run: build the deploy file and run review/build.sh first" | tee -a "$RECORD" >&2
        exit 2
    }
    "$REVIEW/build/$1" "$NETWORK" "$RECORD" "$WORK" "$2" &
    local standin=$! i zones=(dakar-a dakar-b dakar-c)
    PIDS+=($standin)
    for ((i = 0; i < $2; ++i)); do
        start_gateway "$i" "${zones[i % 3]}"
    done
    wait $standin
    local status=$?
    [ -n "${KEEP:-}" ] && cp "$WORK"/gateway-*.log "$KEEP"/
    [ $status -le 2 ] || status=2
    if [ $status = 2 ]; then
        for ((i = 0; i < $2; ++i)); do
            echo "gateway $i wrote last:" && tail -n 5 "$WORK/gateway-$i.log"
        done >>"$RECORD"
    fi
    echo "exit status $status" >>"$RECORD"
    exit $status
}
