#!/usr/bin/env bash
# Starts the system at the users' sizes on loopback, with stand-ins, and runs
# the scenarios of Examples/scenarios.json. Writes scenarios-run.* to a folder,
# docs/measurements unless told otherwise.
# Usage: Meta/run-scenarios.sh [--out FOLDER] [--policy JSON] [SCENARIO...]
# BUILD names the build folder ("build"). Every port is chosen by the kernel.
set -euo pipefail
cd "$(dirname "$0")/.."
bin="${BUILD:-build}/bin"
scenarios=Examples/scenarios.json
out=docs/measurements
policy='{}'
while [ $# -gt 0 ]; do
  case "$1" in
  --out) out="$2"; shift 2 ;;
  --policy) policy="$2"; shift 2 ;;
  *) break ;;
  esac
done
work="$(mktemp -d)"
children=()
stop_all() {
  for child in "${children[@]}"; do kill -TERM "$child" 2>/dev/null || true; done
  sleep 1
  for child in "${children[@]}"; do kill -KILL "$child" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap stop_all EXIT

# start NAME PROGRAM ARGUMENT...: sets $address and $pid once it listens.
start() {
  local name="$1"
  shift
  "$bin/$1" "${@:2}" >"$work/$name.out" 2>"$work/$name.err" &
  pid=$!
  children+=("$pid")
  for _ in $(seq 200); do
    address="$(awk '/^listening/ {print $2; exit}' "$work/$name.out")"
    [ -n "$address" ] && return 0
    kill -0 "$pid" 2>/dev/null || break
    sleep 0.05
  done
  echo "$name did not start:" >&2
  tail -5 "$work/$name.err" >&2
  exit 1
}

machine() { # NAME ROLE ZONE
  curl -sf -o "$work/curl.out" -X POST -H 'Content-Type: application/json' \
    "http://$platform/apis/parsleyspindle/v1/namespaces/default/machines" \
    -d "{\"metadata\":{\"name\":\"$1\"},\"spec\":{\"role\":\"$2\",\"zone\":\"$3\",\"state\":\"live\"}}"
}

# join ITEM...: the items separated by commas.
join() { local IFS=,; echo "$*"; }

zones=(gent-a leuven-b brugge-c)
start_fleet() {
  local index zone item pid address
  engines=() services=() hosts=() upstreams=() engine_names=() service_names=()
  start platform platform_stand_in
  platform="$address"
  for index in $(seq 1 9); do
    zone="${zones[$(((index - 1) % 3))]}"
    start "engine-$index" engine_stand_in --model deksel-llm --threads 1 \
      --weight-store "$platform"
    engines+=("{\"name\":\"engine-$index\",\"address\":\"$address\"}")
    engine_names+=("\"engine-$index\"")
    upstreams+=("{\"name\":\"engine-$index\",\"kind\":\"engine\",\"address\":\"$address\",\"zone\":\"$zone\",\"model\":\"deksel-llm\",\"slots\":8,\"batchSize\":16}")
    machine "engine-$index" upstream "$zone"
  done
  for index in $(seq 1 3); do
    zone="${zones[$((index - 1))]}"
    start "shop-$index" service_stand_in --threads 1
    services+=("{\"name\":\"shop-$index\",\"address\":\"$address\"}")
    service_names+=("\"shop-$index\"")
    upstreams+=("{\"name\":\"shop-$index\",\"kind\":\"service\",\"address\":\"$address\",\"zone\":\"$zone\"}")
    machine "shop-$index" upstream "$zone"
  done
  for index in $(seq 1 7); do
    zone="${zones[$(((index - 1) % 3))]}"
    machine "host-$index" host "$zone"
    cat >"$work/host-$index.json" <<END
{"name": "host-$index", "zone": "$zone", "threads": 2,
 "listen": {"callers": "127.0.0.1:0", "hostLink": "127.0.0.1:0",
            "metrics": "127.0.0.1:0"},
 "platform": {"servers": ["$platform"]},
 "log": {"least": "info"},
 "timeouts": {"drainDelayMs": 1000}}
END
    start "host-$index" spindled --settings "$work/host-$index.json"
    hosts+=("{\"name\":\"host-$index\",\"address\":\"$address\",\"pid\":$pid}")
  done
}

# customer NAME ADAPTERS PART RATE: appends to the intent's lists.
customer() {
  local digest
  digest="$(printf 'load-key-%s' "$1" | sha256sum | cut -d' ' -f1)"
  customers+=("{\"name\":\"$1\",\"ratePerSecond\":$4,\"burst\":$(($4 * 10)),\"weight\":$3}")
  keys+=("{\"name\":\"$1-key\",\"customer\":\"$1\",\"digest\":\"$digest\"}")
  adapters+=("{\"prefix\":\"$1-\",\"count\":$2,\"versions\":[\"1\"],\"default\":\"1\",\"model\":\"deksel-llm\",\"customer\":\"$1\"}")
}

apply_intent() {
  local zone_list=() zone
  customers=() keys=() adapters=()
  # As in Examples/scenarios.json.
  customer harbour 1200 40 30000
  customer orchard 900 30 22500
  customer quarry 450 15 11250
  customer meadow 300 10 7500
  customer lantern 150 5 3750
  for zone in "${zones[@]}"; do zone_list+=("{\"name\":\"$zone\"}"); done
  cat >"$work/intent.json" <<END
{"zones": [$(join "${zone_list[@]}")],
 "customers": [$(join "${customers[@]}")],
 "keys": [$(join "${keys[@]}")],
 "adapters": [$(join "${adapters[@]}")],
 "upstreams": [$(join "${upstreams[@]}")],
 "routes": [
  {"name": "models", "kind": "model", "pathPrefix": "/v1",
   "upstreams": [$(join "${engine_names[@]}")]},
  {"name": "orders", "kind": "service", "pathPrefix": "/orders",
   "methods": ["POST"], "upstreams": [$(join "${service_names[@]}")]},
  {"name": "stock", "kind": "service", "pathPrefix": "/stock",
   "idempotent": true, "upstreams": [$(join "${service_names[@]}")]}],
 "policy": $policy}
END
  "$bin/spindlectl" --platform "$platform" plan "$work/intent.json" \
    -o "$work/plan.json" >"$work/plan.out"
  "$bin/spindlectl" --platform "$platform" --yes apply "$work/plan.json" \
    >"$work/apply.out"
}

write_targets() {
  cat >"$work/targets.json" <<END
{"hosts": [$(join "${hosts[@]}")], "engines": [$(join "${engines[@]}")],
 "services": [$(join "${services[@]}")],
 "platforms": [{"name": "platform", "address": "$platform"}]}
END
}

await_ready() {
  local host address
  for host in "${hosts[@]}"; do
    address="$(sed 's/.*"address":"\([^"]*\)".*/\1/' <<<"$host")"
    for _ in $(seq 200); do
      curl -sf -o "$work/curl.out" "http://$address/readyz" && break
      sleep 0.1
    done
  done
}

start_fleet
apply_intent
write_targets
await_ready
sleep 5 # Shares and owners settle.
mkdir -p "$out"
arguments=()
[ $# -gt 0 ] && arguments=(--only "$(join warm-up "$@")")
"$bin/spindleload" --scenarios "$scenarios" --targets "$work/targets.json" \
  --json "$out/scenarios-run.json" --markdown "$out/scenarios-run.md" \
  --plot "$out/scenarios-run.svg" "${arguments[@]}"
if [ -n "${KEEP_LOGS:-}" ]; then cp "$work"/*.err "$KEEP_LOGS"; fi
