# Functions that start a whole system on loopback with free ports; other scripts source this file.
#
# Set WISTERIA_PROGRAMS to the folder of built programs first. When the sourcing script exits, all
# processes are ended by process id and the temporary folder is removed.

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

# start_process NAME PROGRAM [ARGUMENT...]: starts a program and waits for its "ready" line. The
# array system_wrapper is a command prefix, such as a profiler.
system_wrapper=()
start_process() {
  local name="$1" program="$2" output line=""
  shift 2
  exec {output}< <(exec "${system_wrapper[@]}" "$WISTERIA_PROGRAMS/$program" "$@" 2> "$system_folder/$name.log")
  system_pid[$name]=$!
  system_pids+=("$!")
  if ! read -r -t 60 line <&"$output"; then
    echo "$name did not become ready; its log:" >&2
    cat "$system_folder/$name.log" >&2
    exit 1
  fi
  system_ready[$name]="$line"
}

# address_of NAME KEY: prints the address that the process's ready line has for a key.
address_of() {
  sed -n "s/.*\\b$2=\\([^ ]*\\).*/\\1/p" <<< "${system_ready[$1]}"
}

# stop_process NAME: sends SIGTERM and waits for the process to end.
stop_process() {
  kill "${system_pid[$1]}"
  wait "${system_pid[$1]}" 2> /dev/null || true
}

start_platform() {
  start_process log standin-log
  start_process vms standin-vms
}

# start_backend NAME DOMAIN: starts a backend server and its agent.
start_backend() {
  start_process "$1" standin-backend --name "$1"
  start_agent "$1" "$2"
}

# start_agent NAME DOMAIN: starts the agent of a running backend server.
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

# start_entry NAME DOMAIN [THREADS]: starts an entry, with 2 traffic threads by default.
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

# start_admin NAME: starts an admin; `control` then sends its commands to it.
start_admin() {
  cat > "$system_folder/$1.json" << END
{
  // An admin without a list of operators does not authenticate them: for tests only.
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

# apply_trial_configuration SERVICE CONCURRENCY BACKEND...: applies one service with high limits.
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

# control COMMAND...: runs wisteriactl for the admin.
control() {
  "$WISTERIA_PROGRAMS/wisteriactl" "$@"
}

# backend_line NAME SERVICE DOMAIN CONCURRENCY: prints the server's entry for a configuration file.
backend_line() {
  printf '{"name": "%s", "service": "%s", "agent_address": "%s", "failure_domain": "%s", "vm": "vm-%s", "concurrency": %s}' \
    "$1" "$2" "$(address_of "agent-$1" peer)" "$3" "$1" "$4"
}

# new_key: prints a new idempotency key, a UUID of version 7.
new_key() {
  local time random
  time="$(printf '%012x' "$(date +%s%3N)")"
  random="$(od -An -N10 -tx1 /dev/urandom | tr -d ' \n')"
  echo "${time:0:8}-${time:8:4}-7${random:0:3}-8${random:3:3}-${random:6:12}"
}
