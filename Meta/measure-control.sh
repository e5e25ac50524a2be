#!/usr/bin/env bash
# Measures what control costs a host that serves no caller: processor time and
# memory, with 7 hosts in 3 zones, 9 engines, and ADAPTERS adapter versions
# (62,000 by default). Also the platform's calls a second. Prints Markdown.
set -euo pipefail
cd "$(dirname "$0")/.."
. Meta/lib-programs.sh
ADAPTERS="${ADAPTERS:-62000}"
SECONDS_MEASURED="${SECONDS_MEASURED:-20}"

# Processor time in ns, as the scheduler counts it: the ticks of /proc/PID/stat
# misjudge a process that wakes for some microseconds at a time.
cpu_time() { cat "/proc/$1/task/"*/schedstat | awk '{sum += $1} END {printf "%.0f", sum}'; }

start_program platform platform_stand_in --listen 127.0.0.1:0
PLATFORM="$ADDRESS"
upstreams=""
for engine in $(seq 9); do
  start_program "engine-$engine" engine_stand_in --listen 127.0.0.1:0 --model llm --weight-store "$PLATFORM"
  zone="zone-$((engine % 3))"
  add_machine "$PLATFORM" "engine-$engine" upstream "$zone"
  upstreams+="${upstreams:+,}{\"name\": \"engine-$engine\", \"kind\": \"engine\", \"address\": \"$ADDRESS\", \"zone\": \"$zone\", \"model\": \"llm\"}"
done
for host in $(seq 7); do
  zone="zone-$((host % 3))"
  cat >"$WORK/host-$host.json" <<SETTINGS
{"name": "host-$host", "zone": "$zone",
 "listen": {"callers": "127.0.0.1:0", "hostLink": "127.0.0.1:0", "metrics": "127.0.0.1:0"},
 "platform": {"servers": ["$PLATFORM"]}, "log": {"least": "warning"}}
SETTINGS
  add_machine "$PLATFORM" "host-$host" host "$zone"
  start_program "host-$host" spindled --settings "$WORK/host-$host.json"
  HOSTS[host]="$ADDRESS"
  PROCESSES[host]="$PROCESS"
done
cat >"$WORK/intent.json" <<INTENT
{"zones": [{"name": "zone-0"}, {"name": "zone-1"}, {"name": "zone-2"}],
 "customers": [{"name": "t", "ratePerSecond": 1000, "burst": 10000}],
 "adapters": [{"prefix": "adapter-", "count": $ADAPTERS, "versions": ["1"], "model": "llm"}],
 "upstreams": [$upstreams],
 "routes": [{"name": "models", "kind": "model", "pathPrefix": "/v1", "upstreams": ["engine-1"]}]}
INTENT
"$PROGRAMS/spindlectl" --platform "$PLATFORM" plan "$WORK/intent.json" -o "$WORK/plan.json" >/dev/null 2>&1
"$PROGRAMS/spindlectl" --platform "$PLATFORM" --yes apply "$WORK/plan.json" >/dev/null 2>&1
for host in $(seq 7); do wait_until_ready "${HOSTS[host]}"; done
sleep 5
curl -sf -X POST -o /dev/null "http://$PLATFORM/control/reset" || true
declare -A BEFORE
for host in $(seq 7); do BEFORE[$host]="$(cpu_time "${PROCESSES[host]}")"; done
sleep "$SECONDS_MEASURED"
echo "| host | % of a core | resident MB |"
echo "| --- | --- | --- |"
for host in $(seq 7); do
  used=$(($(cpu_time "${PROCESSES[host]}") - ${BEFORE[$host]}))
  memory="$(awk '/VmRSS/ {printf "%.1f", $2 / 1024}' "/proc/${PROCESSES[host]}/status")"
  echo "| host-$host | $(awk "BEGIN {printf \"%.2f\", $used / $SECONDS_MEASURED / 1e7}") | $memory |"
done
echo
echo "The platform's counts over $SECONDS_MEASURED s:"
echo
curl -sf "http://$PLATFORM/control/counts" | sed 's/^/    /'
echo
