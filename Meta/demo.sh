#!/usr/bin/env bash
# Runs the whole path on loopback: stand-ins, two hosts, completions, an order
# that is sent twice, and a key that is withdrawn in mid-stream.
set -euo pipefail
cd "$(dirname "$0")/.."
. Meta/lib-programs.sh
say() { printf '\n== %s\n' "$*"; }

say "platform, two engines, one service"
start_program platform platform_stand_in --listen 127.0.0.1:0
PLATFORM="$ADDRESS"
for engine in 1 2; do
  start_program "engine-$engine" engine_stand_in --listen 127.0.0.1:0 \
    --model deksel-llm --step-ms 20 --weight-store "$PLATFORM"
  ENGINES[engine]="$ADDRESS"
  add_machine "$PLATFORM" "engine-$engine" upstream "zone-$engine"
done
start_program shop service_stand_in --listen 127.0.0.1:0 --name shop
SHOP="$ADDRESS"
add_machine "$PLATFORM" shop upstream zone-1

say "two hosts"
for host in 1 2; do
  cat >"$WORK/host-$host.json" <<SETTINGS
{
  // Port 0 lets the kernel choose.
  "name": "host-$host", "zone": "zone-$host",
  "listen": {"callers": "127.0.0.1:0", "hostLink": "127.0.0.1:0", "metrics": "127.0.0.1:0"},
  "platform": {"servers": ["$PLATFORM"]}
}
SETTINGS
  "$PROGRAMS/spindled" --settings "$WORK/host-$host.json" --check-settings
  add_machine "$PLATFORM" "host-$host" host "zone-$host"
  start_program "host-$host" spindled --settings "$WORK/host-$host.json"
  HOSTS[host]="$ADDRESS"
done

say "the operator states an intent, sees the plan, and applies it"
cat >"$WORK/intent.json" <<INTENT
{
  "zones": [{"name": "zone-1"}, {"name": "zone-2"}],
  "customers": [{"name": "aalst", "ratePerSecond": 50000, "burst": 200000}],
  "adapters": [{"name": "glaze", "versions": ["1", "2"], "default": "2", "model": "deksel-llm"}],
  "upstreams": [
    {"name": "engine-1", "kind": "engine", "address": "${ENGINES[1]}", "zone": "zone-1", "model": "deksel-llm"},
    {"name": "engine-2", "kind": "engine", "address": "${ENGINES[2]}", "zone": "zone-2", "model": "deksel-llm"},
    {"name": "shop", "kind": "service", "address": "$SHOP", "zone": "zone-1"}],
  "routes": [
    {"name": "models", "kind": "model", "pathPrefix": "/v1", "upstreams": ["engine-1", "engine-2"]},
    {"name": "orders", "kind": "service", "pathPrefix": "/orders", "methods": ["POST"], "upstreams": ["shop"]}]
}
INTENT
CONTROL=("$PROGRAMS/spindlectl" --platform "$PLATFORM")
"${CONTROL[@]}" plan "$WORK/intent.json" -o "$WORK/plan.json"
"${CONTROL[@]}" --yes apply "$WORK/plan.json"
echo "demo-key-0123456789" >"$WORK/key"
"${CONTROL[@]}" --yes keys grant aalst picker --key-file "$WORK/key"
for host in 1 2; do wait_until_ready "${HOSTS[host]}"; done
"${CONTROL[@]}" status

KEY="Authorization: Bearer demo-key-0123456789"
say "a completion by adapter glaze, version 1"
curl -sS -m 20 "http://${HOSTS[1]}/v1/completions" -H "$KEY" \
  -d '{"model": "glaze@1", "prompt": "Will a 20 cm lid fit?", "max_tokens": 8}'
echo
say "a streamed one by its default version, at the other host"
curl -sS -m 20 "http://${HOSTS[2]}/v1/chat/completions" -H "$KEY" \
  -d '{"model": "glaze", "messages": [{"role": "user", "content": "And 22 cm?"}], "max_tokens": 4, "stream": true}'
say "an order, sent to both hosts"
for host in 1 2; do
  curl -sS -i -m 20 "http://${HOSTS[host]}/orders/lids" -H "$KEY" \
    -H "Idempotency-Key: lid-7" -d '{"lids": 1}' | tr -d '\r' | grep -Ei '^HTTP|^idempotency|^\{'
done
echo "the service ran it $(curl -sS "http://$SHOP/control/record" | sed 's/.*"effects": *\([0-9]*\).*/\1/') time(s)"

say "a key withdrawn in mid-stream"
curl -sS -N -m 30 "http://${HOSTS[2]}/v1/completions" -H "$KEY" \
  -d '{"model": "glaze@1", "prompt": "A long dossier", "max_tokens": 5000, "stream": true}' \
  >"$WORK/stream" 2>/dev/null &
STREAM=$!
sleep 1
"${CONTROL[@]}" --yes keys withdraw picker
wait "$STREAM" && echo "the stream ended as if it were whole" && exit 1
tail -n 2 "$WORK/stream"
curl -sS -m 20 "http://${HOSTS[1]}/v1/models" -H "$KEY"
echo
"${CONTROL[@]}" audit
say "done"
