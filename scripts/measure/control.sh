#!/usr/bin/env bash
# Measures what control costs an idle router, by the number of routers and of
# upstreams: processor time, peer messages and bytes, platform calls, memory.
# Reads each router's own metrics over an interval. Writes a Markdown table.
#
#   scripts/measure-control.sh [ROUTERS:ENGINES ...]
set -u
cd "$(dirname "$0")/../.."
BUILD=${BUILD:-build}
SETTLE=${SETTLE:-10} # seconds after readiness before the interval
INTERVAL=${INTERVAL:-20} # seconds
sizes=("$@")
[ $# -gt 0 ] || sizes=(4:9 16:9 32:9 4:36)

# metric TEXT SERIES: the value of one series.
metric() {
    grep -v '^#' <<<"$1" | grep -F "$2 " | head -1 | awk '{print $2}'
}

# read_router OPERATORS: seconds, processor seconds, peer messages, peer bytes, platform calls, resident bytes.
read_router() {
    local text
    text=$(curl -s "http://$1/metrics")
    echo "$(date +%s.%N) $(metric "$text" carawaylatch_control_cpu_seconds)" \
        "$(metric "$text" 'carawaylatch_control_messages_total{channel="peer"}') $(metric "$text" 'carawaylatch_control_bytes_total{channel="peer"}')" \
        "$(metric "$text" 'carawaylatch_control_messages_total{channel="platform"}') $(metric "$text" carawaylatch_resident_bytes)"
}

# run_size ROUTERS ENGINES: one row of the table, the mean of the first four routers.
run_size() (
    source scripts/lib/fleet.sh
    domains=(dakar-a dakar-b dakar-c)
    fleet_standin platform 127.0.0.2 platform
    {
        printf '[customer desk]\nkey_digest = 0123456789abcdef0123456789abcdef\nrequests_per_second = 200\n\n[pool readers]\nmodel = clause-1\nweights_version = 1\n'
        for ((i = 0; i < $2; ++i)); do
            fleet_standin "engine-$i" "127.0.1.$((i + 1))" engine >&2
            printf 'member = engine-%s %s %s\n' "$i" "${ADDRESS[engine-$i]}" "${domains[$((i % 3))]}"
        done
        printf '\n[route contracts]\npath = /v1/completions\nmodel = clause-1\npool = readers\n'
    } >"$FLEET/tables.ini"
    names=()
    for ((i = 0; i < $1; ++i)); do
        fleet_router "router-$i" "127.0.3.$((i + 1))" "${domains[$((i % 3))]}"
        names+=("router-$i")
        [ "$i" -lt 3 ] || unset "PEERS[router-$i]" # the first three are seeds
    done
    "$BUILD/carawaylatchctl" --platform="${ADDRESS[platform]}" apply "$FLEET/tables.ini" >"$FLEET/apply.txt" || exit 1
    fleet_ready "${names[@]}" || exit 1
    sleep "$SETTLE"
    for ((i = 0; i < 4; ++i)); do
        read_router "${OPERATORS[router-$i]}" >"$FLEET/before.$i"
    done
    sleep "$INTERVAL"
    for ((i = 0; i < 4; ++i)); do
        read_router "${OPERATORS[router-$i]}" >"$FLEET/after.$i"
    done
    for ((i = 0; i < 4; ++i)); do
        paste -d' ' "$FLEET/before.$i" "$FLEET/after.$i"
    done | awk -v routers="$1" -v engines="$2" '{
        t = $7 - $1; cpu += ($8 - $2) / t; messages += ($9 - $3) / t; bytes += ($10 - $4) / t; calls += ($11 - $5) / t; memory += $12
    } END {
        printf "| %d | %d | %.2f%% | %.1f | %.2f | %.1f | %.0f |\n", routers, engines, 100 * cpu / NR, messages / NR, bytes / NR / 1000, calls / NR, memory / NR / 1e6
    }'
)

cat <<HEAD
# Cost of control at an idle router

Written by scripts/measure-control.sh: processes on one machine of $(nproc) cores, $INTERVAL s each after
$SETTLE s to settle, mean of four routers. Load of the machine at the start: $(cut -d' ' -f1 /proc/loadavg). Messages and bytes
are sent and received together, sealed messages without TCP and HTTP/2 below.

| routers | engines | control thread, share of a core | peer messages/s | peer kB/s | platform calls/s | memory MB |
|---|---|---|---|---|---|---|
HEAD
for size in "${sizes[@]}"; do
    run_size "${size%:*}" "${size#*:}" || echo "| ${size%:*} | ${size#*:} | failed | | | | |"
done
