#!/usr/bin/env bash
# Starts the whole system on loopback, runs a burst of all kinds, checks the
# answers against what ran, and stops everything it started. Exits non-zero if
# anything was wrong.
set -euo pipefail
cd "$(dirname "$0")/.."

work=$(mktemp -d)
pids=()
seed=${SEED:-1}
rate=${RATE:-25}
duration=${DURATION:-12s}

# All ports are base and a little more.
base=${DEMO_PORTS:-21000}
for port in 1 11 12 13 21 22 23 31 32 33 51 52 53 101 102 103 104 105; do
  if (exec 3<>"/dev/tcp/127.0.0.1/$((base + port))") 2>/dev/null; then
    echo "port $((base + port)) is taken, perhaps by another demo; DEMO_PORTS=$((base + 200)) make demo uses others" >&2
    exit 1
  fi
done

stop_all() {
  local pid
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop_all EXIT

start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=("$!")
  eval "pid_${name//-/_}=$!"
}

digest() { printf %s "key-$1" | sha256sum | cut -d' ' -f1; }

# The published values.
{
  cat examples/himal.csv
  tail -n +2 examples/allkiri.csv
} >"$work/table.csv"

engine() { # ID DATA_CENTER PORT MODEL
  printf '{"id":"%s","type":"engine","data_center":"%s","address":"127.0.0.1:%s","targets":["%s"],"incarnation":1,"state":"live","capacity_tokens":16000,"max_running":64,"checks_fencing":%s,"desired":["%s"]}' \
    "$1" "$2" "$3" "$4" "$5" "$4"
}
entry_vm() { # ID DATA_CENTER PORT
  printf '{"id":"%s","role":"entry","data_center":"%s","peer":"127.0.0.1:%s","state":"live"}' "$1" "$2" "$3"
}
workspaces=""
for w in hetauda-plant lalitpur-plant bhaktapur-plant notary-chamber rental-agents village-councils; do
  workspaces+="${workspaces:+,}{\"name\":\"$w\",\"keys_sha256\":[\"$(digest $w)\"]}"
done
cat >"$work/fleet.json" <<JSON
{"vms":[$(entry_vm entry-1 hall-a $((base + 11))),$(entry_vm entry-2 hall-a $((base + 12))),$(entry_vm entry-3 hall-b $((base + 13)))],
"endpoints":[$(engine engine-1 hall-a $((base + 101)) kiln-scribe true),$(engine engine-2 hall-b $((base + 102)) kiln-scribe false),
$(engine engine-3 hall-a $((base + 103)) lexmodel true),$(engine engine-4 hall-b $((base + 104)) lexmodel false),
{"id":"desk-1","type":"service","data_center":"hall-a","address":"127.0.0.1:$((base + 105))","targets":["signdesk"],"incarnation":1,"state":"live","capacity_tokens":0,"max_running":256,"checks_fencing":false}],
"workspaces":[$workspaces]}
JSON

bin/bridgehoistctl check "$work/table.csv"

start platform bin/bridgehoist-standin platform -listen 127.0.0.1:$((base + 1)) -table "$work/table.csv" -fleet "$work/fleet.json"
start engine-1 bin/bridgehoist-standin engine -listen 127.0.0.1:$((base + 101)) -models kiln-scribe -checks-fencing
start engine-2 bin/bridgehoist-standin engine -listen 127.0.0.1:$((base + 102)) -models kiln-scribe
start engine-3 bin/bridgehoist-standin engine -listen 127.0.0.1:$((base + 103)) -models lexmodel -checks-fencing
start engine-4 bin/bridgehoist-standin engine -listen 127.0.0.1:$((base + 104)) -models lexmodel
start desk-1 bin/bridgehoist-standin service -listen 127.0.0.1:$((base + 105))
sleep 0.3
for i in 1 2 3; do
  dc=hall-a
  [ "$i" = 3 ] && dc=hall-b
  start "entry-$i" bin/bridgehoist-entry -vm "entry-$i" -data-center "$dc" -listen "127.0.0.1:$((base + 20 + i))" \
    -peer "127.0.0.1:$((base + 10 + i))" -operator "127.0.0.1:$((base + 30 + i))" -platform http://127.0.0.1:$((base + 1)) \
    -drain-delay 1s -handover-linger 500ms
done
for i in 2 3; do
  dc=hall-a
  [ "$i" = 3 ] && dc=hall-b
  start "controller-$i" bin/bridgehoist-controller -vm "entry-$i" -data-center "$dc" \
    -entry-peer "127.0.0.1:$((base + 10 + i))" -operator "127.0.0.1:$((base + 50 + i))"
done

for i in 1 2 3; do
  bin/bridgehoistctl wait-ready -operator "http://127.0.0.1:$((base + 30 + i))" -timeout 10s
done

standins=http://127.0.0.1:$((base + 101)),http://127.0.0.1:$((base + 102)),http://127.0.0.1:$((base + 103)),http://127.0.0.1:$((base + 104)),http://127.0.0.1:$((base + 105))
echo "burst over three entries, two data centres, four engines and one plain service:"
status=0
bin/bridgehoist-load -entries http://127.0.0.1:$((base + 21)),http://127.0.0.1:$((base + 22)),http://127.0.0.1:$((base + 23)) \
  -standins "$standins" -seed "$seed" -rate "$rate" -duration "$duration" -longest 900 || status=$?

for i in 1 2 3; do
  bin/bridgehoistctl status -operator "http://127.0.0.1:$((base + 30 + i))" -require-no-violations >"$work/status-$i" || status=1
done
cat "$work/status-1"

# A planned stop of one entry, and of everything after it.
kill -TERM "$pid_entry_1"
wait "$pid_entry_1" || { echo "entry-1 did not stop cleanly"; status=1; }
grep -q "tickets handed over" "$work/entry-1.log" || { echo "entry-1 handed nothing over"; status=1; }
if grep -h "invariant violated" "$work"/*.log; then status=1; fi
if [ "$status" -ne 0 ]; then
  echo "demo: FAILED"
  tail -n 20 "$work"/*.log
  exit 1
fi
echo "demo: every answer whole, own and once"
