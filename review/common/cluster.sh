# SPDX-License-Identifier: Apache-2.0
# Starts a small deployment for the scripts under review/: five controllers and two entries with the
# commands of the deploy file, with the bounds of the deployment milkrun. Sourced by run.sh of a case, which
# is in the folder `case_folder`.

cd "$(dirname "${BASH_SOURCE[0]}")/../.."
trouble=${TROUBLE:-1}
sumacd=target/bin/sumacd
workers_stand_in=review/bin/task_workers_stand_in
work=$(mktemp -d)
record=$case_folder/record.txt
: >"$record"
declare -A pids=()

# Bound of the deployment, in milliseconds.
stop_ms=900

now_ms() { date +%s%3N; }
began=$(now_ms)
# note TEXT...: a line of the record, with the time since the start of the script.
note() { printf '%7d ms  %s\n' "$(($(now_ms) - began))" "$*" | tee -a "$record"; }

stop_all() {
  local name
  for name in "${!pids[@]}"; do
    kill -CONT "${pids[$name]}" 2>/dev/null || true
    kill -KILL "${pids[$name]}" 2>/dev/null || true
    wait "${pids[$name]}" 2>/dev/null || true
  done
  pids=()
}
trap 'stop_all; rm -rf "$work"' EXIT
# A command that fails where none may fail: the case could not run.
set -E
trap 'exit 2' ERR

# cannot_run TEXT...: ends the script as a case that could not run.
cannot_run() {
  note "the case could not run: $*"
  exit 2
}
for program in "$sumacd" "$workers_stand_in"; do [ -x "$program" ] || cannot_run "$program is missing"; done

# A part of the loopback range in which nothing listens at these ports.
choose_network() {
  local try
  for try in $(seq 50); do
    network=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
    if ! ss -Hltn 2>/dev/null | grep -q "$network\."; then return 0; fi
  done
  cannot_run "no free addresses"
}
choose_network

controllers=(c1 c2 c3 c4 c5)
entries=(n1 n2)
ip_of() { case "$1" in c*) echo "$network.${1#c}" ;; n*) echo "$network.10${1#n}" ;; esac; }
seeds="[\"$(ip_of c1):8623\",\"$(ip_of c2):8623\",\"$(ip_of c3):8623\"]"
controls="$(ip_of c1):8623,$(ip_of c2):8623,$(ip_of c3):8623,$(ip_of c4):8623,$(ip_of c5):8623"

# write_settings NAME IS_FIRST_START: what the templates of the deploy file give, without doors to a platform.
write_settings() {
  local name=$1 ip role
  ip=$(ip_of "$name")
  mkdir -p "$work/$name"
  role=$(case "$name" in c*) echo controller ;; *) echo entry ;; esac)
  {
    echo "{\"label\": \"$name\", \"data_centre\": \"dc-1\", \"role\": \"$role\", \"ip\": \"$ip\", \"peer_port\": 7060,"
    echo "\"metrics_door\": \"$ip:7061\", \"seeds\": $seeds, \"is_first_start\": $2, \"tolerated_losses\": 2,"
    echo "\"tolerated_data_centres\": 0, \"most_descriptors\": 4096,"
    if [ "$role" = controller ]; then
      echo "\"data_centres\": [\"dc-1\"], \"data_folder\": \"$work/$name/data\", \"control_door\": \"$ip:8623\","
      echo '"group": {"heartbeat_ms": 100, "election_timeout_ms": 450, "snapshot_every": 1000},'
      echo "\"platform_times\": {\"longest_lease_ms\": 6000, \"longest_stop_ms\": $stop_ms, \"instance_lease_ms\": 3000}}"
    else
      echo "\"caller_door\": \"$ip:8624\", \"health_door\": \"$ip:8622\", \"platform_times\": {\"stop_grace_ms\": 6000}}"
    fi
  } >"$work/$name/settings.json"
}
start_node() {
  "$sumacd" --settings "$work/$1/settings.json" >>"$work/$1/out.txt" 2>&1 &
  pids[$1]=$!
}
# kill_node NAME: kill -9; it does not come back by itself.
kill_node() {
  kill -KILL "${pids[$1]}"
  wait "${pids[$1]}" 2>/dev/null || true
  unset "pids[$1]"
}
# until_true SECONDS COMMAND...
until_true() {
  local end=$(($(now_ms) + $1 * 1000))
  shift
  while [ "$(now_ms)" -lt "$end" ]; do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  return 1
}

# call SECONDS ARGUMENT...: an HTTP call; prints the status, 000 without an answer. The body is in $work/body.
call() {
  local seconds=$1
  shift
  : >"$work/body"
  curl -s --max-time "$seconds" -H 'Host: desk.example' -o "$work/body" -w '%{http_code}' "$@" || true
}
ready() { [ "$(call 1 "http://$(ip_of "$1"):8622/ready")" = 200 ]; }
put_manifest() {
  local body="{\"version\": $2, \"routes\": [{\"name\": \"clips\", \"host\": \"desk.example\", \"path_prefix\": \"/clips/\",
    \"kind\": \"unsafe\", \"timeout_ms\": 3000, \"target_latency_ms\": 600, \"priority\": 0, \"service\": \"previews\",
    \"max_attempts\": 3, \"stretch\": 1.6}], \"services\": [{\"name\": \"previews\", \"health_path\": \"/health\",
    \"max_conns\": 64, \"protocol\": \"h1\", \"tls\": false, \"enforces_capacity\": true, \"headroom\": false}],
    \"limits\": {\"max_header_bytes\": 16384, \"max_body_bytes\": 262144, \"header_timeout_ms\": 3000, \"idle_timeout_ms\": 15000}}"
  [ "$(call 2 -X PUT "http://$(ip_of "$1"):8623/config" -H 'Content-Type: application/json' -d "$body")" = 200 ]
}
new_job() { head -c 8 /dev/urandom | od -An -tx1 | tr -d ' \n'; }
job_url() { echo "http://$(ip_of "$1"):8624/clips/$2"; }
# post_job ENTRY ID STEPS: prints the status; the client's time limit is 3 s.
post_job() {
  call 3 -X POST "$(job_url "$1" "$2")" -H 'Content-Type: application/json' -H 'Sumacstack-Deadline-Ms: 3000' \
    -d "{\"spec\":\"$2\",\"steps\":$3}"
}
accepted() { [ "$(post_job "$@")" = 200 ]; }
# show_job ENTRY ID: prints status and state.
show_job() {
  local status
  status=$(call 3 "$(job_url "$1" "$2")" -H 'Sumacstack-Deadline-Ms: 3000')
  echo "$status $(sed -n 's/.*"state":"\([a-z]*\)".*/\1/p' "$work/body")"
}
shows() { [ "$(show_job "$1" "$2")" = "200 $3" ]; }

# The controller that leads by the logs of those that run.
leader() {
  local name
  for name in "${!pids[@]}"; do
    case "$name" in c*) ;; *) continue ;; esac
    if grep -hE '"event":"(leads|leads-no-more|started)"' "$work/$name/out.txt" | tail -1 | grep -q '"event":"leads"'; then
      echo "$name"
      return 0
    fi
  done
  return 1
}
five_vote() { [ "$(curl -s --max-time 1 "http://$(ip_of "$(leader)"):7061/metrics" | awk '$1 == "sumac_voters" { print $2 }')" = 5 ]; }

start_deployment() {
  local name
  for name in "${controllers[@]}" "${entries[@]}"; do
    write_settings "$name" true
    start_node "$name"
  done
  until_true 20 put_manifest c1 1 || cannot_run "the first manifest was not taken"
  for name in "${entries[@]}"; do until_true 10 ready "$name" || cannot_run "$name is not ready"; done
  until_true 10 five_vote || cannot_run "the group did not grow to five"
  note "five controllers and two entries are up, version 1 is acknowledged, $(leader) leads"
}
