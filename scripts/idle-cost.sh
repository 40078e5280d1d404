#!/usr/bin/env bash
# Measures what idle entries spend on control: processor time, resident memory
# and exchanged bytes. Usage: idle-cost.sh [ENTRIES [SECONDS]]
set -euo pipefail
cd "$(dirname "$0")/.."
count=${1:-9}
seconds=${2:-30}
work=$(mktemp -d)
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap 'stop_all 2>/dev/null' EXIT

vms=""
for i in $(seq 1 "$count"); do
  vms+="${vms:+,}{\"id\":\"entry-$i\",\"role\":\"entry\",\"data_center\":\"hall-$((i % 3))\",\"peer\":\"127.0.0.1:$((22000 + i))\",\"state\":\"live\"}"
done
engines=""
for i in $(seq 1 15); do
  engines+="${engines:+,}{\"id\":\"engine-$i\",\"type\":\"engine\",\"data_center\":\"hall-$((i % 3))\",\"address\":\"127.0.0.1:$((22800 + i))\",\"targets\":[\"kiln-scribe\"],\"incarnation\":1,\"state\":\"live\",\"capacity_tokens\":16000,\"max_running\":64}"
done
echo "{\"vms\":[$vms],\"endpoints\":[$engines],\"workspaces\":[]}" >"$work/fleet.json"
bin/bridgehoist-standin platform -listen 127.0.0.1:22700 -table examples/himal.csv -fleet "$work/fleet.json" &
pids+=("$!")
for i in $(seq 1 15); do
  bin/bridgehoist-standin engine -listen "127.0.0.1:$((22800 + i))" -models kiln-scribe &
  pids+=("$!")
done
sleep 0.3
entries=()
for i in $(seq 1 "$count"); do
  bin/bridgehoist-entry -vm "entry-$i" -data-center "hall-$((i % 3))" -listen "127.0.0.1:$((22100 + i))" \
    -peer "127.0.0.1:$((22000 + i))" -operator "127.0.0.1:$((22200 + i))" -platform http://127.0.0.1:22700 2>/dev/null &
  pids+=("$!")
  entries+=("$!")
done
sleep 5

ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
metric() { curl -s "http://127.0.0.1:$((22200 + $1))/metrics" | awk -v m="bridgehoist_$2" '$1 == m {printf "%.0f", $2}'; }
before_ticks=$(ticks "${entries[0]}")
before_bytes=$(metric 1 exchange_bytes_total)
before_calls=0
for i in $(seq 1 "$count"); do before_calls=$((before_calls + $(metric "$i" platform_calls_total))); done
sleep "$seconds"
after_calls=0
for i in $(seq 1 "$count"); do after_calls=$((after_calls + $(metric "$i" platform_calls_total))); done
hz=$(getconf CLK_TCK)
awk -v t="$(($(ticks "${entries[0]}") - before_ticks))" -v hz="$hz" -v s="$seconds" \
  -v b="$(($(metric 1 exchange_bytes_total) - before_bytes))" -v c="$((after_calls - before_calls))" -v n="$count" \
  -v rss="$(awk '/VmRSS/ {print $2}' "/proc/${entries[0]}/status")" \
  'BEGIN {printf "%d entries, %d s: entry-1 %.2f%% of a core, %.1f MB resident, %.0f exchanged bytes/s; all: %.2f platform reads/s\n", n, s, 100*t/hz/s, rss/1024, b/s, c/s}'
