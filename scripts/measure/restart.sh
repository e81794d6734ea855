#!/usr/bin/env bash
# Hit rate of a router before and right after a restart, with real processes: one
# router killed and restarted, then all four at once. Prints a Markdown table.
cd "$(dirname "$0")/../.."
BUILD=${BUILD:-build}
CAPACITY_BLOCKS=1600
PREFILL_RATE=40000
DECODE_MS=4
source scripts/lib/fleet.sh
source scripts/lib/groupement.sh
SEED=${SEED:-7}
REQUESTS=${REQUESTS:-80}

# load TARGETS DRAW_SEED: prints the hit rate in per cent.
load() {
    "$BUILD/carawaylatch-load" --target="$1" --key="$(groupement_keys)" --workload=groupement --seed="$SEED" --draw_seed="$2" \
        --requests="$REQUESTS" --concurrency=16 | grep -oE 'hit rate [0-9.]+' | awk '{printf "%.1f", $3 * 100}'
}
groupement_start >/dev/null || exit 1
for warm in 1 2 3 4 5 6; do
    load "$(groupement_targets)" "$((100 + warm))" >/dev/null
done
echo "| draw seed | before | one router restarted | before | all four restarted |"
echo "|---|---|---|---|---|"
for draw in 1 2 3 4 5; do
    one_before=$(load "${ADDRESS[router-0]}" "$draw")
    fleet_kill router-0 KILL
    fleet_wait_end router-0
    fleet_restart_router router-0
    fleet_ready router-0 || exit 1
    one_after=$(load "${ADDRESS[router-0]}" "$((draw + 50))")
    all_before=$(load "$(groupement_targets)" "$((draw + 20))")
    sleep 4 # a stored snapshot is at most one interval old
    for i in 0 1 2 3; do
        fleet_kill "router-$i" KILL
        fleet_wait_end "router-$i"
    done
    for i in 0 1 2 3; do
        fleet_restart_router "router-$i"
    done
    fleet_ready router-0 router-1 router-2 router-3 || exit 1
    all_after=$(load "$(groupement_targets)" "$((draw + 70))")
    echo "| $draw | $one_before % | $one_after % | $all_before % | $all_after % |"
done
