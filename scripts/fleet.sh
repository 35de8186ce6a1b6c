# Functions that start and stop a whole fleet on loopback addresses. Sourced by other scripts,
# which set `example` (a folder with fleet.jsonc and table.jsonc), `bin` (the folder of the
# programs) and `run` (a folder for all files that are written).

pids=()

# Starts a program in the background and records its process id.
# Usage: start LOG PROGRAM ARGUMENT...
start() {
  local log=$1
  shift
  "$@" >>"$run/$log.out" 2>>"$run/$log.log" &
  pids+=("$!")
  last_pid=$!
}

# Terminates all started processes by process id: SIGTERM, then SIGKILL after 10 s.
end_fleet() {
  local pid
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  local waited=0
  while [ "$waited" -lt 100 ]; do
    local alive=0
    for pid in "${pids[@]}"; do kill -0 "$pid" 2>/dev/null && alive=$((alive + 1)); done
    [ "$alive" -eq 0 ] && break
    sleep 0.1
    waited=$((waited + 1))
  done
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}

# Waits until a command succeeds; fails after SECONDS. Usage: wait_for SECONDS WHAT COMMAND...
wait_for() {
  local deadline=$((SECONDS + $1)) what=$2
  shift 2
  until "$@" >/dev/null 2>&1; do
    if [ "$SECONDS" -ge "$deadline" ]; then
      echo "gave up waiting until $what" >&2
      return 1
    fi
    sleep 0.1
  done
}

# Runs the operators' command line with this fleet's settings.
stackpost() { "$bin/stackpost" --settings "$run/fleet.jsonc" --key-file "$run/operator.key" "$@"; }

all_routers_ready() {
  local ready wanted
  wanted=$(stackpost machines | awk 'NR > 1 && $3 != "-"' | wc -l)
  ready=$(stackpost status | awk '$3 == "ready"' | wc -l)
  [ "$ready" -eq "$wanted" ]
}

leader_known() { stackpost status | grep -q ' leader '; }

# Writes the settings and a new operator key into the run folder.
prepare_fleet() {
  mkdir -p "$run"
  cp "$example/fleet.jsonc" "$example/table.jsonc" "$run/"
  sed -i "s#\"data/#\"$run/data/#" "$run/fleet.jsonc"
  (umask 077 && od -An -N16 -tx1 /dev/urandom | tr -d ' \n' >"$run/operator.key")
  printf '{ "operator": "%s" }\n' "$("$bin/stackpost" key-hash <"$run/operator.key")" \
    >"$run/operators.jsonc"
}

start_standins() {
  local platform name kind address fence
  platform=$(sed -n 's/.*"platform": "\([^"]*\)".*/\1/p' "$run/fleet.jsonc")
  start platform "$bin/stackpost-standin-platform" --address "$platform"
  while read -r name kind address fence; do
    local options=(--address "$address" --log "$run/journal-$name.jsonl")
    if [ "$kind" = model ]; then
      [ "$fence" = checks-fence ] && options+=(--checks-fence)
      start "$name" "$bin/stackpost-standin-engine" "${options[@]}" --weight-store "$platform"
    else
      start "$name" "$bin/stackpost-standin-service" "${options[@]}" --name "$name"
    fi
  done < <("$bin/stackpost" table list-file "$run/table.jsonc" | tail -n +2)
}

# Starts one control replica or router. Usage: start_process control|router MACHINE
start_process() {
  start "$1-$2" "$bin/stackpost-$1" --settings "$run/fleet.jsonc" --machine "$2"
}

start_fleet() {
  local machine zone router control
  while read -r machine zone router control; do
    if [ "$control" != - ]; then
      "$bin/stackpost-control" --settings "$run/fleet.jsonc" --machine "$machine" --initialize
      start_process control "$machine"
    fi
  done < <(stackpost machines | tail -n +2)
  wait_for 20 "a control replica leads" leader_known
  stackpost table import "$run/table.jsonc"
  while read -r machine zone router control; do
    [ "$router" != - ] && start_process router "$machine"
  done < <(stackpost machines | tail -n +2)
  wait_for 30 "all routers are ready" all_routers_ready
}
