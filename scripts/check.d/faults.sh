#!/usr/bin/env bash
# Real processes under faults: 200 orders and 200 streams while routers, engines
# and the platform are killed, frozen, stopped or made to lose answers, in an order
# drawn from a printed seed. The judges are the services' journals, the engines'
# counters and the callers, never a router's own word.
cd "$(dirname "$0")/../.."
BUILD=${BUILD:-build}
SEED=${SEED:-20261203}
source scripts/lib/fleet.sh
source scripts/lib/groupement.sh
RANDOM=$SEED
echo "seed $SEED"
groupement_start >/dev/null || exit 1

platform_fault() {
    curl -s -o /dev/null -d "{\"mode\":\"$1\",\"delay_ms\":${2:-0}}" "http://${ADDRESS[platform]}/admin/faults"
}
freeze() { # NAME SECONDS
    fleet_kill "$1" STOP
    sleep "$2"
    fleet_kill "$1" CONT
}
# Every kind of fault once in a drawn order, then kinds at random.
KINDS=$(for kind in 0 1 2 3 4 5 6 7; do echo "$RANDOM $kind"; done | sort -n | cut -d' ' -f2 | tr '\n' ' ')
next_kind() { # sets KIND
    KIND=${KINDS%% *}
    KINDS=${KINDS#* }
    [ -n "$KIND" ] || KIND=$((RANDOM % 8))
}
# One fault of kind KIND, ended before the next one.
one_fault() {
    local router="router-$((RANDOM % 4))" engine="engine-$((RANDOM % 9))"
    next_kind
    case $KIND in
    0) echo "kill $router" && fleet_kill "$router" KILL && sleep 0.5 && fleet_restart_router "$router" ;;
    1) echo "freeze $router 2 s" && freeze "$router" 2 ;;
    2) echo "planned stop of $router" && fleet_kill "$router" TERM && fleet_wait_end "$router" && fleet_restart_router "$router" ;;
    3) echo "kill $engine" && fleet_kill "$engine" KILL && sleep 0.5 && restart_engine "$engine" ;;
    4) echo "freeze $engine 2 s" && freeze "$engine" 2 ;;
    5) echo "platform down 1.5 s" && platform_fault down && sleep 1.5 && platform_fault up ;;
    6) echo "platform loses answers 1.5 s" && platform_fault lose_answers && sleep 1.5 && platform_fault up ;;
    7) echo "platform frozen 1.5 s" && freeze platform 1.5 ;;
    esac
}
restart_engine() {
    FLEET_PORT=${ADDRESS[$1]##*:} fleet_standin "$1" "${ADDRESS[$1]%:*}" engine --block_bytes=512 --capacity_blocks=400 --prefill_rate=20000 --decode_ms=8
}

"$BUILD/carawaylatch-load" --target="$(groupement_targets)" --key="$(groupement_keys)" --workload=groupement --requests=200 --concurrency=10 \
    --pause_ms=500 --seed="$SEED" --orders=200 --order_route=bookings --judge="${ADDRESS[desk-0]},${ADDRESS[desk-1]},${ADDRESS[desk-2]}" >"$FLEET/load.txt" 2>&1 &
loader=$!
faults=0
while [ $faults -lt 8 ] || { kill -0 $loader 2>/dev/null && [ $faults -lt 12 ]; }; do
    one_fault || break
    faults=$((faults + 1))
done
wait $loader
status=$?
cat "$FLEET/load.txt"
wrong=0
for i in 0 1 2 3 4 5 6 7 8; do
    wrong=$((wrong + $(fleet_counter "engine-$i" wrong_hits || echo 0)))
done
echo "faults $faults, wrong cache hits $wrong, load exit $status"
if [ $status = 0 ] && [ $wrong = 0 ]; then
    echo "1 passed, 0 failed"
else
    KEEP_FLEET=1
    echo "0 passed, 1 failed"
    exit 1
fi
