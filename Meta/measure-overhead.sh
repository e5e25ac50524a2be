#!/usr/bin/env bash
# Measures what one host adds to a direct call, in one run: small calls to a
# plain service, and streamed completions. Prints Markdown.
set -euo pipefail
cd "$(dirname "$0")/.."
. Meta/lib-programs.sh
KEY=overhead-key-0123456789
THREADS="${THREADS:-3}"

start_program platform platform_stand_in --listen 127.0.0.1:0
PLATFORM="$ADDRESS"
start_program engine engine_stand_in --listen 127.0.0.1:0 --model llm --step-ms 0 --threads "$THREADS" --weight-store "$PLATFORM"
ENGINE="$ADDRESS"
start_program service service_stand_in --listen 127.0.0.1:0 --threads "$THREADS"
SERVICE="$ADDRESS"
cat >"$WORK/host.json" <<SETTINGS
{"name": "host-1", "zone": "a", "threads": $THREADS,
 "listen": {"callers": "127.0.0.1:0", "hostLink": "127.0.0.1:0", "metrics": "127.0.0.1:0"},
 "platform": {"servers": ["$PLATFORM"]}, "log": {"least": "warning"}}
SETTINGS
start_program host spindled --settings "$WORK/host.json"
HOST="$ADDRESS"
add_machine "$PLATFORM" host-1 host a
add_machine "$PLATFORM" engine upstream a
add_machine "$PLATFORM" service upstream a
cat >"$WORK/intent.json" <<INTENT
{"zones": [{"name": "a"}],
 "customers": [{"name": "t", "ratePerSecond": 100000000, "burst": 200000000}],
 "keys": [{"name": "k", "customer": "t", "digest": "$(printf %s "$KEY" | sha256sum | cut -d' ' -f1)"}],
 "adapters": [{"name": "one", "versions": ["1"], "model": "llm"}],
 "upstreams": [
   {"name": "engine", "kind": "engine", "address": "$ENGINE", "zone": "a", "model": "llm", "batchSize": 256},
   {"name": "service", "kind": "service", "address": "$SERVICE", "zone": "a"}],
 "routes": [
   {"name": "models", "kind": "model", "pathPrefix": "/v1", "upstreams": ["engine"]},
   {"name": "stock", "kind": "service", "pathPrefix": "/stock", "idempotent": true, "upstreams": ["service"]}]}
INTENT
"$PROGRAMS/spindlectl" --platform "$PLATFORM" plan "$WORK/intent.json" -o "$WORK/plan.json" >/dev/null
"$PROGRAMS/spindlectl" --platform "$PLATFORM" --yes apply "$WORK/plan.json" >/dev/null
wait_until_ready "$HOST"

# row LABEL ADDRESS CONNECTIONS REQUESTS ARGUMENT...
row() {
  local label="$1" address="$2" connections="$3" requests="$4"
  shift 4
  printf '| %s ' "$label"
  "$PROGRAMS/spindleload" --target="$address" --connections="$connections" \
    --requests="$requests" --key="$KEY" --threads="$THREADS" "$@" | tail -n 1
}

STREAM='{"model": "one@1", "prompt": "hello", "max_tokens": 500, "stream": true}'
echo "| what | connections | requests | failed | min ms | p50 ms | p99 ms | requests/s | events/s |"
echo "| --- | --- | --- | --- | --- | --- | --- | --- | --- |"
for connections in 1 16 64; do
  requests=$((connections == 1 ? 10000 : 60000))
  row "small call, direct" "$SERVICE" "$connections" "$requests" --method=GET --path=/stock/7
  row "small call, through the host" "$HOST" "$connections" "$requests" --method=GET --path=/stock/7
done
"$PROGRAMS/spindleload" --target="$HOST" --connections=1 --requests=3 --key="$KEY" --method=POST --path=/v1/completions --body="$STREAM" >/dev/null
for connections in 1 16 64; do
  row "stream of 500 events, direct" "$ENGINE" "$connections" $((connections * 60)) --method=POST --path=/v1/completions --body="$STREAM"
  row "stream of 500 events, through the host" "$HOST" "$connections" $((connections * 60)) --method=POST --path=/v1/completions --body="$STREAM"
done
