# Starts a whole system on loopback with free ports, for scripts that source this file.
#
# Set WISTERIA_PROGRAMS to the folder of built programs first. Everything is ended by process id,
# and the temporary folder removed, when the sourcing script exits.

system_folder="$(mktemp -d)"
system_pids=()
declare -A system_pid system_ready

end_system() {
  if [ "${#system_pids[@]}" -gt 0 ]; then
    kill "${system_pids[@]}" 2> /dev/null || true
    wait "${system_pids[@]}" 2> /dev/null || true
  fi
  rm -rf "$system_folder"
}
trap end_system EXIT

# start_process NAME PROGRAM [ARGUMENT...]: waits for the program's "ready" line. Words in the
# array system_wrapper go before the program, for a profiler.
system_wrapper=()
start_process() {
  local name="$1" program="$2" output line=""
  shift 2
  exec {output}< <(exec "${system_wrapper[@]}" "$WISTERIA_PROGRAMS/$program" "$@" 2> "$system_folder/$name.log")
  system_pid[$name]=$!
  system_pids+=("$!")
  if ! read -r -t 60 line <&"$output"; then
    echo "$name did not become ready; its log says:" >&2
    cat "$system_folder/$name.log" >&2
    exit 1
  fi
  system_ready[$name]="$line"
}

# address_of NAME WORD: the address that the process's ready line gives for a word.
address_of() {
  sed -n "s/.*\\b$2=\\([^ ]*\\).*/\\1/p" <<< "${system_ready[$1]}"
}

# stop_process NAME: asks it to end and waits for it.
stop_process() {
  kill "${system_pid[$1]}"
  wait "${system_pid[$1]}" 2> /dev/null || true
}

start_platform() {
  start_process log standin-log
  start_process vms standin-vms
}

# start_backend NAME DOMAIN: a backend server and the agent beside it.
start_backend() {
  start_process "$1" standin-backend --name "$1"
  start_agent "$1" "$2"
}

# start_agent NAME DOMAIN: the agent of a backend server that runs.
start_agent() {
  cat > "$system_folder/agent-$1.json" << END
{
  "name": "$1",
  "failure_domain": "$2",
  "peer_listen": "127.0.0.1:0",
  "backend": {"url": "http://$(address_of "$1" address)"},
  "log": {"url": "http://$(address_of log address)"},
  "vms": {"url": "http://$(address_of vms address)"},
  "log_level": "${WISTERIA_LOG_LEVEL:-info}"
}
END
  start_process "agent-$1" wisteria-agent --settings "$system_folder/agent-$1.json"
}

# start_entry NAME DOMAIN [THREADS]
start_entry() {
  cat > "$system_folder/$1.json" << END
{
  "name": "$1",
  "failure_domain": "$2",
  "listen": "127.0.0.1:0",
  "traffic_threads": ${3:-2},
  "log": {"url": "http://$(address_of log address)"},
  "log_level": "${WISTERIA_LOG_LEVEL:-info}"
}
END
  start_process "$1" wisteria-entry --settings "$system_folder/$1.json"
}

# start_admin NAME; afterwards control asks it.
start_admin() {
  cat > "$system_folder/$1.json" << END
{
  // An admin that lists no operators takes their word for who they are: for a trial only.
  "name": "$1",
  "listen": "127.0.0.1:0",
  "metrics_listen": "127.0.0.1:0",
  "log": {"url": "http://$(address_of log address)"}
}
END
  start_process "$1" wisteria-admin --settings "$system_folder/$1.json"
  WISTERIA_ADMIN="$(address_of "$1" admin)"
  export WISTERIA_ADMIN
}

# apply_trial_configuration SERVICE CONCURRENCY BACKEND...: one service without tight limits.
apply_trial_configuration() {
  local service="$1" concurrency="$2" lines=() name
  shift 2
  for name in "$@"; do
    lines+=("$(backend_line "$name" "$service" domain-a "$concurrency")")
  done
  cat > "$system_folder/configuration.json" << END
{
  "routing_policies": [{"name": "even", "load_weight": 1, "retry_ratio": 0.1, "max_attempts": 3}],
  "services": [{"name": "$service", "routing_policy": "even", "queue_bound": 2000, "default_deadline_ms": 30000, "max_body_bytes": 1048576}],
  "backend_servers": [$(IFS=,; echo "${lines[*]}")],
  "organisations": [{"name": "bench", "requests_per_second": 1000000, "burst": 1000000, "concurrency": 100000}]
}
END
  control apply "$system_folder/configuration.json" --who bench --why "trial configuration"
}

# control COMMAND...: wisteriactl against the admin.
control() {
  "$WISTERIA_PROGRAMS/wisteriactl" "$@"
}

# backend_line NAME SERVICE DOMAIN CONCURRENCY: its entry for a configuration file.
backend_line() {
  printf '{"name": "%s", "service": "%s", "agent_address": "%s", "failure_domain": "%s", "vm": "vm-%s", "concurrency": %s}' \
    "$1" "$2" "$(address_of "agent-$1" peer)" "$3" "$1" "$4"
}

# new_key: an idempotency key, a UUID of version 7.
new_key() {
  local time random
  time="$(printf '%012x' "$(date +%s%3N)")"
  random="$(od -An -N10 -tx1 /dev/urandom | tr -d ' \n')"
  echo "${time:0:8}-${time:8:4}-7${random:0:3}-8${random:3:3}-${random:6:12}"
}
