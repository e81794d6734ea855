# The Groupement's fleet of today: 3 failure domains, 9 engines, 3 desk servers, a
# KV cache store, 8 customers, 4 routers. Sourced after fleet.sh.

GROUPEMENT_DOMAINS=(dakar-a dakar-b dakar-c)
GROUPEMENT_CUSTOMERS=(sahel-bois thies-copeaux atlantique-chips casamance-pellets desk mill-clerks dispatch plant-buyers)

# groupement_upstreams: starts platform, engines, services and the KV store.
groupement_upstreams() {
    local i domain
    fleet_standin platform 127.0.0.2 platform --list_lag_ms=1000
    fleet_standin kv 127.0.0.3 kvstore
    for i in 0 1 2 3 4 5 6 7 8; do
        fleet_standin "engine-$i" "127.0.1.$((i + 1))" engine --block_bytes=512 --capacity_blocks="${CAPACITY_BLOCKS:-400}" \
            --prefill_rate="${PREFILL_RATE:-20000}" --decode_ms="${DECODE_MS:-8}" --fencing="$([ "$i" -lt 6 ] && echo true || echo false)"
    done
    for i in 0 1 2; do
        fleet_standin "desk-$i" "127.0.2.$((i + 1))" service
    done
}

# groupement_tables FILE: writes the tables of today.
groupement_tables() {
    local i it
    {
        for it in "${GROUPEMENT_CUSTOMERS[@]}"; do
            printf '[customer %s]\nkey_digest = %s\nrequests_per_second = 200\nconcurrency = 64\n\n' "$it" "$("$BUILD/carawaylatchctl" digest "key-$it")"
        done
        printf '[pool readers]\nkind = engine\nfencing = ignored\nmodel = clause-1\nweights_version = 1\nblock_bytes = 512\nkv_store = %s\n' "${ADDRESS[kv]}"
        for i in 0 1 2 3 4 5 6 7 8; do
            printf 'member = engine-%s %s %s\n' "$i" "${ADDRESS[engine-$i]}" "${GROUPEMENT_DOMAINS[$((i % 3))]}"
        done
        printf '\n[pool desk]\nkind = service\n'
        for i in 0 1 2; do
            printf 'member = desk-%s %s %s\n' "$i" "${ADDRESS[desk-$i]}" "${GROUPEMENT_DOMAINS[$i]}"
        done
        printf '\n[route contracts]\npath = /v1/completions\nmodel = clause-1\npool = readers\ndeadline = 20s\n'
        printf '\n[route letters]\npath = /v1/chat/completions\nmodel = clause-1\npool = readers\ndeadline = 30s\n'
        printf '\n[route bookings]\npath = /v1/services/bookings\npool = desk\nidempotency = at-most-once\ndeadline = 5s\n'
        printf '\n[route lookups]\npath = /v1/services/lookups\npool = desk\ndeadline = 5s\n'
    } >"$1"
}

# groupement_routers: starts the 4 routers and gives the platform's list of VMs.
groupement_routers() {
    local i
    for i in 0 1 2 3; do
        fleet_router "router-$i" "127.0.3.$((i + 1))" "${GROUPEMENT_DOMAINS[$((i % 3))]}"
    done
    groupement_vm_list
}

# groupement_vm_list [LEAVING...]: replaces the platform's list; named VMs are leaving.
groupement_vm_list() {
    local items='' name role state address leaving=" $* "
    for name in "${!ADDRESS[@]}"; do
        case $name in
        router-*) role=router address=${PEERS[$name]} ;;
        engine-* | desk-*) role=upstream address=${ADDRESS[$name]} ;;
        *) continue ;;
        esac
        state=live
        [[ $leaving == *" $name "* ]] && state=leaving
        items="$items${items:+,}{\"name\":\"$name\",\"role\":\"$role\",\"state\":\"$state\",\"address\":\"${address%:*}\",\"port\":${address##*:},\"failure_domain\":\"dakar-a\"}"
    done
    curl -s -o /dev/null -d "{\"items\":[$items]}" "http://${ADDRESS[platform]}/admin/vms"
}

# groupement_keys: the customers' keys, as carawaylatch-load takes them.
groupement_keys() {
    local IFS=,
    echo "${GROUPEMENT_CUSTOMERS[*]/#/key-}"
}

# groupement_targets: the callers' ports of all routers.
groupement_targets() {
    echo "${ADDRESS[router-0]},${ADDRESS[router-1]},${ADDRESS[router-2]},${ADDRESS[router-3]}"
}

# groupement_start: the whole fleet, configured and ready.
groupement_start() {
    groupement_upstreams
    groupement_routers
    groupement_tables "$FLEET/tables.ini"
    "$BUILD/carawaylatchctl" --platform="${ADDRESS[platform]}" --router="${OPERATORS[router-0]}" --author=demo apply "$FLEET/tables.ini" || return 1
    fleet_ready router-0 router-1 router-2 router-3
}
