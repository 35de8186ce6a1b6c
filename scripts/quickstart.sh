#!/usr/bin/env bash
# Builds and starts a whole fleet on loopback addresses, sends requests in every zone, changes a
# cell of the table, compares the bills with the budgets, and ends every process it started.
# Usage: scripts/quickstart.sh [--keep] [examples/lagos|examples/bogota]
set -euo pipefail
cd "$(dirname "$0")/.."

keep=no
example=examples/lagos
for argument in "$@"; do
  case "$argument" in
    --keep) keep=yes ;;
    -h | --help) sed -n '2,4p' "$0"; exit 0 ;;
    *) example=$argument ;;
  esac
done
[ -f "$example/fleet.jsonc" ] || { echo "no fleet.jsonc in \`$example\`" >&2; exit 2; }

cargo build --quiet --workspace --bins
bin=$PWD/target/debug
run=$(mktemp -d "${TMPDIR:-/tmp}/stackpost-quickstart.XXXXXX")
. scripts/fleet.sh
trap 'end_fleet; rm -rf "$run"' EXIT

step() { printf '\n== %s\n' "$1"; }

step "Starting the fleet of $example"
prepare_fleet
start_standins
start_fleet
stackpost status

model=$(sed -n 's/.*"models": \["\([^"]*\)".*/\1/p' "$run/table.jsonc" | head -n 1)
route=$(sed -n 's/.*"path_prefix": "\([^"]*\)".*/\1/p' "$run/table.jsonc" | head -n 1)
mapfile -t tenants < <(sed -n 's/.*"table": "tenant", "name": "\([^"]*\)".*/\1/p' "$run/table.jsonc")
mapfile -t entries < <(stackpost machines | awk 'NR > 1 && $3 != "-" { print $2, $3 }')

step "Requests in every zone"
number=0
for entry in "${entries[@]}"; do
  read -r zone api <<<"$entry"
  tenant=${tenants[$((number % ${#tenants[@]}))]}
  number=$((number + 1))
  ask=("$bin/stackpost-load" request --api "$api" --key "demo-$tenant")
  printf '%-13s %-17s chat    ' "$zone" "$tenant"
  "${ask[@]}" --model "$model" --prompt "When does the next boat leave? ($number)"
  printf '%-13s %-17s stream  ' "$zone" "$tenant"
  "${ask[@]}" --model "$model" --stream --prompt "Summarise this, please. ($number)"
  printf '%-13s %-17s call    ' "$zone" "$tenant"
  "${ask[@]}" --path "$route" --idempotency-key "quickstart-$number"
done

step "Changing a cell: the budget of ${tenants[0]}"
limit=$(stackpost table show budget "${tenants[0]}" | sed -n 's/.*"limit":\([0-9]*\).*/\1/p')
stackpost table set budget "${tenants[0]}" "limit=$((limit + 500000))"

step "Why the last request went where it went"
request=$(stackpost bills | awk 'END { print $1 }')
stackpost explain "$request"

step "Bills and budgets"
bills_complete() { [ "$(stackpost bills | tail -n +2 | wc -l)" -ge "$((3 * number))" ]; }
wait_for 10 "every request is billed" bills_complete
stackpost budgets
stackpost --output json budgets | awk '
  /"limit"/ { gsub(/[^0-9]/, ""); limit = $0 }
  /"billed"/ { gsub(/[^0-9]/, ""); billed = $0; sum += billed; if (billed + 0 > limit + 0) over = 1 }
  END { print "billed in all: " sum " tokens; budgets exceeded: " (over ? "yes" : "none"); exit over }'

if [ "$keep" = yes ]; then
  trap - EXIT
  step "The fleet stays up"
  echo "Settings, key and logs: $run"
  echo "Operators: $bin/stackpost --settings $run/fleet.jsonc --key-file $run/operator.key status"
  echo "Callers:   $bin/stackpost-load request --api ${entries[0]#* } --key demo-${tenants[0]} --model $model"
  echo "To end it: kill ${pids[*]}"
  exit 0
fi
step "Ending the fleet"
end_fleet
echo "done"
