# Functions for scripts that start the project's programs on loopback. Source
# it; it defines PROGRAMS, WORK and start_program, and ends what it started.
PROGRAMS="${PROGRAMS:-$PWD/build/bin}"
WORK="$(mktemp -d)"
STARTED=()

stop_programs() {
  for process in "${STARTED[@]}"; do kill -KILL "$process" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$WORK"
}
trap stop_programs EXIT

# start_program NAME PROGRAM ARGUMENT...: starts it, waits until it listens, and
# leaves its first address in ADDRESS and its process in PROCESS.
start_program() {
  local name="$1" program="$2"
  shift 2
  "$PROGRAMS/$program" "$@" >"$WORK/$name.out" 2>"$WORK/$name.err" &
  PROCESS=$!
  STARTED+=("$PROCESS")
  for _ in $(seq 200); do
    ADDRESS="$(sed -n 's/^listening \([^ ]*\).*/\1/p' "$WORK/$name.out")"
    [ -n "$ADDRESS" ] && return 0
    kill -0 "$PROCESS" 2>/dev/null || break
    sleep 0.05
  done
  echo "$name did not start:" >&2
  cat "$WORK/$name.err" >&2
  return 1
}

# add_machine PLATFORM NAME ROLE ZONE: puts a machine into the platform's list.
add_machine() {
  curl -sf -o /dev/null -X POST \
    "http://$1/apis/parsleyspindle/v1/namespaces/default/machines" -d "{
      \"metadata\": {\"name\": \"$2\"},
      \"spec\": {\"role\": \"$3\", \"zone\": \"$4\", \"state\": \"live\"}}"
}

# wait_until_ready ADDRESS
wait_until_ready() {
  for _ in $(seq 300); do
    curl -sf -m 1 "http://$1/readyz" >/dev/null && return 0
    sleep 0.1
  done
  echo "$1 does not become ready" >&2
  return 1
}
