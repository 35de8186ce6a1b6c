#!/usr/bin/env bash
# Measures the real processes of the Lagos fleet, release build: the router compared with direct
# calls of the same engine, requests per core, and each process's CPU time, memory and bytes sent,
# idle and loaded. Usage: scripts/measure.sh [RATE]
set -euo pipefail
cd "$(dirname "$0")/.."
rate=${1:-200}
example=examples/lagos
cargo build --quiet --release --workspace --bins
bin=$PWD/target/release
run=$(mktemp -d "${TMPDIR:-/tmp}/stackpost-measure.XXXXXX")
. scripts/fleet.sh
trap 'end_fleet; rm -rf "$run"' EXIT
prepare_fleet
start_standins
start_fleet >/dev/null

# CPU time of a process, in clock ticks.
ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
# Resident memory of a process, in MB.
memory() { awk '/VmRSS/ { printf "%.1f", $2 / 1024 }' "/proc/$1/status"; }
# Bytes sent over the open connections of a process; 0 without the ss tool.
sent() {
  command -v ss >/dev/null || { echo 0; return; }
  ss -tinpH 2>/dev/null | awk -v pid="pid=$1," '
    /^[A-Z]/ { mine = index($0, pid) > 0; next }
    mine && match($0, /bytes_sent:[0-9]+/) { sum += substr($0, RSTART + 11, RLENGTH - 11) }
    END { print sum + 0 }'
}

# Measures all routers and control replicas over SECONDS. Usage: sample NAME SECONDS
sample() {
  local name=$1 seconds=$2 pid before=() bytes=()
  mapfile -t watched < <(pgrep -f "$bin/stackpost-(router|control) --settings $run/" || true)
  for pid in "${watched[@]}"; do
    before+=("$(ticks "$pid")")
    bytes+=("$(sent "$pid")")
  done
  sleep "$seconds"
  local index=0
  for pid in "${watched[@]}"; do
    local used=$(($(ticks "$pid") - before[index])) out=$(($(sent "$pid") - bytes[index]))
    local program
    program=$(tr '\0' ' ' <"/proc/$pid/cmdline" | sed 's#.*/stackpost-\([a-z]*\) .*--machine \([^ ]*\).*#\1 \2#')
    awk -v n="$name" -v p="$program" -v u="$used" -v s="$seconds" -v m="$(memory "$pid")" -v o="$out" \
      'BEGIN { printf "%-7s %-18s cpu %5.2f%% of a core, %6s MB, sent %.2f KB/s\n", n, p, u / s, m, o / s / 1000 }'
    index=$((index + 1))
  done
}

echo "== idle, 10 s"
sample idle 10

mapfile -t entries < <(stackpost machines | awk 'NR > 1 && $3 != "-" { print $3 }')
load=("$bin/stackpost-load")
ask=(--key demo-ferry-passengers --model ferry-chat --max-tokens 32 --prompt "tokens=20 hello")

echo "== router against direct calls of one engine, streamed, 20 tokens"
start direct-engine "$bin/stackpost-standin-engine" --address 127.10.9.1:8000 --token-us 2000 --batch 256
sleep 0.3
"${load[@]}" compare --api "${entries[0]}" "${ask[@]}" --stream --rate 40 --seconds 8 --turns 3 \
  --direct 127.10.9.1:8000

echo "== loaded: $rate requests/s on each router, 10 s"
loads=()
for entry in "${entries[@]}"; do
  "${load[@]}" run --api "$entry" "${ask[@]}" --rate "$rate" --seconds 12 >"$run/load-$entry.txt" &
  loads+=("$!")
done
sleep 1
sample loaded 10
wait "${loads[@]}"
grep -h -E "total|statuses" "$run"/load-*.txt

echo "== edits"
for number in 1 2 3 4 5; do
  stackpost table set budget manifest-office "limit=$((8000000 + number))" | tail -n 1
done
