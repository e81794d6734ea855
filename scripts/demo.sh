#!/usr/bin/env bash
# Shows what the router is for, on loopback: 4 routers in 3 failure domains before 9
# engines and 3 services. Ends by itself within a minute; exits with 1 if a
# promise did not hold.
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
CAPACITY_BLOCKS=1200
PREFILL_RATE=40000
source scripts/lib/fleet.sh
source scripts/lib/groupement.sh
failed=0
say() {
    printf '%5ss  %s\n' "$SECONDS" "$*"
}
expect() { # TEXT CONDITION...
    local text=$1
    shift
    if "$@"; then
        say "ok      $text"
    else
        say "FAILED  $text"
        failed=1
    fi
}
load() { # extra flags
    "$BUILD/carawaylatch-load" --target="$(groupement_targets)" --key="$(groupement_keys)" --workload=groupement "$@"
}
book() { # ROUTER KEY
    curl -s -D "$FLEET/head" -o "$FLEET/body" -H "Authorization: Bearer key-dispatch" -H "Idempotency-Key: $2" \
        -d '{"truck":"DK-4711","tonnes":18}' "http://${ADDRESS[$1]}/v1/services/bookings/trucks"
    tr -d '\r' <"$FLEET/head" | sed -n 's/^X-Order-Outcome: //p'
}
runs_of() { # KEY: how often the services ran an order
    local i n=0
    for i in 0 1 2; do
        n=$((n + $(curl -s "http://${ADDRESS[desk-$i]}/journal" | grep -o "\"key\":\"[^\"]*$1\"" | wc -l)))
    done
    echo "$n"
}

say "starting a platform, 9 engines, 3 services and 4 routers in 3 failure domains"
groupement_start >"$FLEET/apply.txt" || exit 1
tail -1 "$FLEET/apply.txt" | sed 's/^/        /'
say "all routers hold the tables and are ready"

say "one streamed answer through router-0:"
curl -sN -H "Authorization: Bearer key-desk" -d '{"model":"clause-1","prompt":"Moisture above 35 percent: which penalty applies?","max_tokens":4,"stream":true}' \
    "http://${ADDRESS[router-0]}/v1/completions" | head -3

say "240 contract reads with nested prompts (template, contract, clause) over all routers"
load --requests=240 --concurrency=12 --seed=1 --report="$FLEET/calm.json" >"$FLEET/calm.txt"
expect "every stream was whole and its caller's own" [ $? = 0 ]
grep -E 'hit rate|first token' "$FLEET/calm.txt" | sed 's/^/        /'

say "one truck booked twice under one key, at two routers"
first=$(book router-1 truck-1)
second=$(book router-2 truck-1)
expect "first answer '$first', second '$second', the services ran it $(runs_of truck-1) time" [ "$(runs_of truck-1)" = 1 ]

say "draining engine-4 at router-3"
"$BUILD/carawaylatchctl" --router="${OPERATORS[router-3]}" drain engine-4 >/dev/null
sleep 3
before=$(fleet_counter engine-4 jobs)
load --requests=60 --concurrency=8 --seed=2 >/dev/null
after=$(fleet_counter engine-4 jobs)
expect "engine-4 got $((after - before)) new requests, at any router, from 3 s on" [ "$before" = "$after" ]

say "killing engine-1 and router-2 while 120 streams run and 20 bookings go out"
(
    sleep 0.7
    fleet_kill engine-1 KILL
    sleep 0.3
    fleet_kill router-2 KILL
) &
load --requests=120 --concurrency=12 --seed=3 --orders=20 --order_route=bookings \
    --judge="${ADDRESS[desk-0]},${ADDRESS[desk-1]},${ADDRESS[desk-2]}" >"$FLEET/faults.txt"
status=$?
grep -E 'cut|foreign|orders|twice|not run' "$FLEET/faults.txt" | sed 's/^/        /'
expect "no stream was cut quietly, no booking ran twice, no false 'not run'" [ $status = 0 ]

say "restarting router-2; it takes hot state and tables from its peers"
fleet_restart_router router-2
expect "router-2 is ready again" fleet_ready router-2

say "planned stop of router-3 under load"
load --requests=80 --concurrency=8 --seed=4 >"$FLEET/stop.txt" &
loader=$!
sleep 0.5
fleet_kill router-3 TERM
wait $loader
expect "every stream was whole" [ $? = 0 ]
expect "router-3 ended by itself" fleet_wait_end router-3

wrong=0
for i in 0 2 3 4 5 6 7 8; do
    wrong=$((wrong + $(fleet_counter "engine-$i" wrong_hits)))
done
expect "cached state of another customer or older weights was used $wrong times" [ "$wrong" = 0 ]
[ $failed = 0 ] && say "all held" || say "something did not hold"
exit $failed
