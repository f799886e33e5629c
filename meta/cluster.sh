# SPDX-License-Identifier: Apache-2.0
# Functions for scripts that start processes on loopback; sourced, not run. The caller sets
# `bin` (where the programs are) and `work` (an empty folder), and calls stop_all on exit.

callers_port=8080
targets_port=8081
operators_port=9090
peer_port=9091
platform_address=127.0.0.10:8070

declare -A pids=()
declare -A roles=()
process_names=()

ip_of() { echo "127.0.0.$((10 + ${1#e}))"; }

# write_settings NAME DATA_CENTRE... : settings for all processes declared in `roles`.
write_all_settings() {
  local rows="" name
  for name in "${process_names[@]}"; do
    rows+="${rows:+,}{\"name\":\"$name\",\"data_centre\":\"$(data_centre_of "$name")\",\"roles\":[${roles[$name]}],\"peer_address\":\"$(ip_of "$name"):$peer_port\"}"
  done
  for name in "${process_names[@]}"; do
    mkdir -p "$work/$name"
    jq -n --arg name "$name" --arg ip "$(ip_of "$name")" --arg work "$work/$name" \
      --arg platform "$platform_address" --argjson processes "[$rows]" \
      --argjson extra "${extra_settings:-{\}}" '{
        process: $name,
        listen: {callers: ($ip + ":8080"), targets: ($ip + ":8081"), operators: ($ip + ":9090")},
        processes: $processes,
        data_folder: ($work + "/data"),
        platform_address: $platform,
        doors: {stop_notice_ms: 300},
        log: {file: ($work + "/log.jsonl")}
      } * $extra' >"$work/$name/settings.json"
  done
}

data_centre_of() { echo "dc-$(((${1#e} - 1) % 4 + 1))"; }

is_controller() { [[ ${roles[$1]} == *controller* ]]; }

# format NAME: makes a controller's data folder.
format() { "$bin/sumacd" --settings "$work/$1/settings.json" --format; }

# start NAME: starts one sumacd.
start() {
  "$bin/sumacd" --settings "$work/$1/settings.json" >>"$work/$1/out.txt" 2>&1 &
  pids[$1]=$!
}

# start_other NAME COMMAND...: starts a stand-in.
start_other() {
  local name=$1
  shift
  mkdir -p "$work/$name"
  "$@" >>"$work/$name/out.txt" 2>&1 &
  pids[$name]=$!
}

# signal_process NAME SIGNAL; waits for the end of a killed one.
signal_process() {
  kill "-$2" "${pids[$1]}"
  if [ "$2" = KILL ] || [ "$2" = TERM ]; then
    wait "${pids[$1]}" 2>/dev/null || true
    unset "pids[$1]"
  fi
}

stop_all() {
  local name
  for name in "${!pids[@]}"; do
    kill -CONT "${pids[$name]}" 2>/dev/null || true
    kill -TERM "${pids[$name]}" 2>/dev/null || true
  done
  for name in "${!pids[@]}"; do
    for _ in $(seq 60); do
      kill -0 "${pids[$name]}" 2>/dev/null || break
      sleep 0.1
    done
    kill -KILL "${pids[$name]}" 2>/dev/null || true
    wait "${pids[$name]}" 2>/dev/null || true
  done
  pids=()
}

operator_addresses() {
  local name list=""
  for name in "${process_names[@]}"; do
    list+="${list:+,}$(ip_of "$name"):$operators_port"
  done
  echo "$list"
}

target_addresses() {
  local name list=""
  for name in "${process_names[@]}"; do
    list+="${list:+,}$(ip_of "$name"):$targets_port"
  done
  echo "$list"
}

ctl() { SUMAC_OPERATORS=${operators:-$(operator_addresses)} "$bin/sumacctl" "$@"; }

# until_true SECONDS COMMAND...: tries a command until it succeeds.
until_true() {
  local tries=$(($1 * 10))
  shift
  for _ in $(seq "$tries"); do
    if "$@" >/dev/null 2>&1; then
      return 0
    fi
    sleep 0.1
  done
  return 1
}

# The name of the process that leads.
leader_name() {
  local name
  for name in "${process_names[@]}"; do
    if is_controller "$name" && [ -n "${pids[$name]:-}" ] &&
      operators="$(ip_of "$name"):$operators_port" ctl --timeout-ms 500 --json status 2>/dev/null |
      jq -e '.document.controller.may_act' >/dev/null 2>&1; then
      echo "$name"
      return 0
    fi
  done
  return 1
}

instance_field() { ctl --json get instances "$1" | jq -r ".document[0]$2"; }
instance_is() { [ "$(instance_field "$1" .state)" = "$2" ]; }
available_in() { ctl --json get pools "$1" | jq -r '.document[0].available'; }
has_available() { [ "$(available_in "$1")" -ge "$2" ]; }
job_is() { [ "$(ctl --json jobs show "$1" | jq -r '.document[0].state')" = "$2" ]; }
new_key() { echo "$(date +%s%3N)-$(head -c 6 /dev/urandom | od -An -tx1 | tr -d ' \n')"; }
