# SPDX-License-Identifier: Apache-2.0
# A small deployment for the scripts of review/4 to review/8; sourced after `case_folder` is set. Five controllers and three
# entries run by the commands and the templates of the deploy file, on a loopback network of their own.
# Gives an empty folder `work`, note, until_true and the functions below. All that was started ends on exit.

repository=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
programs=$repository/target/bin
stand_ins=$repository/target/review-2/bin
work=$(mktemp -d)
record=$case_folder/record.txt
: >"$record"
declare -A pids=()
trap 'stop_all; rm -rf "$work"' EXIT

# A case that can't run ends with 2.
cannot_run() {
  note "cannot run: $*"
  exit 2
}

# note TEXT: prints a line with the time in milliseconds and adds it to the record.
note() { echo "$(now_ms) $*" | tee -a "$record"; }
now_ms() { date +%s%3N; }

# True while the process is a child of this script: a number may have been given to another process since.
is_own_child() { grep -q "^PPid:[[:space:]]*$$\$" "/proc/${pids[$1]}/status" 2>/dev/null; }
stop_all() {
  local name
  for name in "${!pids[@]}"; do
    is_own_child "$name" || continue
    kill -CONT "${pids[$name]}" 2>/dev/null || true
    kill -KILL "${pids[$name]}" 2>/dev/null || true
    wait "${pids[$name]}" 2>/dev/null || true
  done
  pids=()
}

# until_true SECONDS COMMAND...: tries a command until it succeeds.
until_true() {
  local end=$(($(now_ms) + $1 * 1000))
  shift
  while [ "$(now_ms)" -lt "$end" ]; do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.05
  done
  return 1
}

controllers=(c1 c2 c3 c4 c5)
entries=(e1 e2 e3)
# A network in which nothing listens yet.
is_network_free() { ! (echo >"/dev/tcp/$1.1/8623") 2>/dev/null; }
network=
for _ in 1 2 3 4 5; do
  network=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
  is_network_free "$network" && break
done
ip_of() { case "$1" in c*) echo "$network.${1#c}" ;; e*) echo "$network.1${1#e}" ;; w*) echo "$network.10${1#w}" ;; esac; }
seeds="[\"$network.1:8623\",\"$network.2:8623\",\"$network.3:8623\"]"
controls=$network.1:8623,$network.2:8623,$network.3:8623

# write_node NAME IS_FIRST_START: the settings that deploy/controller.json and deploy/entry.json give, with the bounds of
# the deployment scsa-previews.
write_node() {
  mkdir -p "$work/$1"
  jq -n --arg name "$1" --arg ip "$(ip_of "$1")" --argjson first "$2" --argjson seeds "$seeds" \
    --arg data "$work/$1/data" --arg instances "${platform_address:-}" '
    {label: $name, data_centre: "suva-hall", ip: $ip, peer_port: 7060, metrics_door: "\($ip):7061", seeds: $seeds,
     is_first_start: $first, tolerated_losses: 2, tolerated_data_centres: 0}
    + (if $name | startswith("c") then
        {role: "controller", data_centres: ["suva-hall"], data_folder: $data, control_door: "\($ip):8623",
         most_descriptors: 4096, instances_door: $instances, advice_door: "",
         group: {heartbeat_ms: 100, election_timeout_ms: 450, snapshot_every: 1000},
         platform_times: {longest_lease_ms: 10000, longest_stop_ms: 400, instance_lease_ms: 3000,
                          maintenance_seconds: 2, move_seconds: 1.5}}
      else
        {role: "entry", caller_door: "\($ip):8624", health_door: "\($ip):8622", most_descriptors: 4100,
         platform_times: {stop_grace_ms: 6000}}
      end)' >"$work/$1/settings.json"
}
start_node() { start_program "$1" "$programs/sumacd" --settings "$work/$1/settings.json"; }
# start_program NAME COMMAND...
start_program() {
  local name=$1
  shift
  mkdir -p "$work/$name"
  "$@" >>"$work/$name/out.txt" 2>&1 &
  pids[$name]=$!
}
signal() { kill "-$2" "${pids[$1]}"; }

# write_manifest VERSION: two queues, each of a service of its own.
write_manifest() {
  jq -n --argjson version "$1" '
    def queue($name; $service): {name: $name, host: "desk.example", path_prefix: "/\($name)/", kind: "unsafe",
      timeout_ms: 3000, target_latency_ms: 600, priority: 0, service: $service, max_attempts: 3, stretch: 1.6};
    {version: $version, routes: [queue("clips"; "previews"), queue("marks"; "stamps")],
     services: [{name: "previews", health_path: "/health", max_conns: 64, protocol: "h1", tls: false,
                 enforces_capacity: true, headroom: false},
                {name: "stamps", health_path: "/health", max_conns: 64, protocol: "h1", tls: false,
                 enforces_capacity: true, headroom: false}],
     limits: {max_header_bytes: 16384, max_body_bytes: 262144, header_timeout_ms: 3000, idle_timeout_ms: 15000}}' \
    >"$work/manifest-$1"
}
declared() {
  [ "$(curl -s --max-time 2 -o /dev/null -w '%{http_code}' -X PUT "http://$network.${2:-1}:8623/config" -d @"$work/manifest-$1")" = 200 ]
}
ready() { [ "$(curl -s --max-time 2 -o /dev/null -w '%{http_code}' "http://$(ip_of "$1"):8622/ready")" = 200 ]; }

# start_workers NAME SERVICE COUNT WORK_MS: the workers of one service, all in one process; events go to NAME.jsonl.
start_workers() {
  start_program "$1" "$stand_ins/task_workers_stand_in" --count "$3" --ip "$(ip_of "$1")" --controls "$controls" \
    --service "$2" --work-ms "$4" --process "$1" --data-centre suva-hall --log "$work/$1.jsonl"
}

check_programs() {
  local tool
  for tool in curl jq; do command -v "$tool" >/dev/null || cannot_run "$tool is missing"; done
  [ -x "$programs/sumacd" ] || cannot_run "$programs/sumacd is not built"
  [ -x "$stand_ins/task_workers_stand_in" ] || cannot_run "review/build-2.sh has not run"
}

# start_system: all nodes and the first manifest.
start_system() {
  local name
  check_programs
  for name in "${controllers[@]}" "${entries[@]}"; do
    write_node "$name" true
    start_node "$name"
  done
  write_manifest 1
  until_true 20 declared 1 || cannot_run "the first manifest was not acknowledged"
  for name in "${entries[@]}"; do until_true 10 ready "$name" || cannot_run "$name is not ready"; done
}

new_job() { head -c 8 /dev/urandom | od -An -tx1 | tr -d ' \n'; }
# call ENTRY METHOD PATH [BODY]: a client's call with a time limit of 3 s. Prints the status, 000 for no answer; the body
# goes to $work/body.
call() {
  local status=0
  curl -s --max-time 3 -o "$work/body" -w '%{http_code}' -H 'Host: desk.example' -H 'Content-Type: application/json' \
    -H 'Sumacstack-Deadline-Ms: 3000' -X "$2" ${4:+-d "$4"} "http://$(ip_of "$1"):8624$3" || true
}
