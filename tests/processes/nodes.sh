# SPDX-License-Identifier: Apache-2.0
# Controllers and entries that find each other from seeds, for the tests of real processes; sourced after
# harness.sh. The caller sets `controllers`, names that begin with c and end with a number, and `entries`, n.

# A test with a network of its own sets `node_network` first; it may run beside the others.
node_network=${node_network:-127.0.1}
node_ip() { case "$1" in c*) echo "$node_network.${1#c}" ;; n*) echo "$node_network.1${1#n}" ;; esac; }
seeds="[\"$node_network.1:1\",\"$node_network.2:1\",\"$node_network.3:1\"]"
controls="$node_network.1:8623,$node_network.2:8623,$node_network.3:8623"

# write_node NAME ROLE IS_FIRST_START
write_node() {
  mkdir -p "$work/$1"
  jq -n --arg name "$1" --arg role "$2" --arg ip "$(node_ip "$1")" --argjson first "$3" --argjson seeds "$seeds" \
    --arg data "$work/$1/data" '{
      label: $name, data_centre: "dc-1", role: $role, ip: $ip, peer_port: 7060, seeds: $seeds,
      is_first_start: $first, tolerated_losses: 2, operators_door: "\($ip):7070", metrics_door: "\($ip):7071"}
      + (if $role == "controller" then {data_folder: $data, control_door: "\($ip):8623"}
         else {caller_door: "\($ip):8624", health_door: "\($ip):8622"} end)' >"$work/$1/settings.json"
}
# change_settings NAME FILTER: applies a jq filter to the settings that write_node wrote.
change_settings() {
  jq "$2" "$work/$1/settings.json" >"$work/$1/settings.next"
  mv "$work/$1/settings.next" "$work/$1/settings.json"
}
# start_node NAME [DESCRIPTORS]: with a limit of file descriptors, if one is given.
start_node() {
  if [ $# -gt 1 ]; then
    start_other "$1" bash -c 'ulimit -Sn "$1"; exec "$2" --settings "$3"' start "$2" "$bin/sumacd" "$work/$1/settings.json"
  else
    start_other "$1" "$bin/sumacd" --settings "$work/$1/settings.json"
  fi
}
role_of() { case "$1" in c*) echo controller ;; *) echo entry ;; esac; }

job_url() { echo "http://$(node_ip "$1"):8624/clips/$2"; }
new_job() { head -c 8 /dev/urandom | od -An -tx1 | tr -d ' \n'; }
# call ARGUMENT...: an HTTP call with the key in `caller_key`, if it is set; prints the status.
call() {
  curl -s --max-time 5 -H "Host: desk.example" ${caller_key:+-H "Authorization: Bearer $caller_key"} \
    -o "$work/body" -w '%{http_code}' "$@"
}
# The operators' own door: any process passes on to the leader.
ctl() { "$bin/sumacctl" --json --operator tester --address "$(node_ip "$1"):7070" "${@:2}" >"$work/ctl.json"; }
ctl_finds() {
  local filter=$1
  shift
  ctl "$@" && jq -e "$filter" "$work/ctl.json" >/dev/null
}
# submit ENTRY ID COUNT [TEXT]: prints the status.
submit() {
  call -X POST -H 'Sumacstack-Deadline-Ms: 3000' "$(job_url "$1" "$2")" \
    -d "{\"spec\":\"${4:-x}\",\"steps\":[{\"count\":$3,\"cpu\":500,\"mem_mb\":10,\"estimate_ms\":200},{\"count\":1,\"cpu\":500,\"after\":[0]}]}"
}
submitted() { [ "$(submit "$@")" = 200 ]; }
state_is() { call "$(job_url "$1" "$2")" >/dev/null && [ "$(jq -r .state "$work/body")" = "$3" ]; }
ready() { [ "$(curl -s --max-time 2 -o /dev/null -w '%{http_code}' "http://$(node_ip "$1"):8622/ready")" = 200 ]; }
declared() { [ "$(curl -s --max-time 2 -o /dev/null -w '%{http_code}' -X PUT "http://$node_network.${2:-1}:8623/config" -d @"$work/manifest-$1")" = 200 ]; }
version_at() { curl -s --max-time 2 "http://$node_network.$1:8623/config" | jq .version; }
leader() {
  local name
  for name in "${controllers[@]}"; do
    [ -n "${pids[$name]:-}" ] || continue
    if [ "$(grep -hE '"event":"(leads|leads-no-more|started)"' "$work/$name/out.txt" | tail -1 | jq -r .event)" = leads ]; then
      echo "$name"
      return 0
    fi
  done
  return 1
}
manifest() {
  jq -n --argjson version "$1" '{version: $version,
    routes: [{name: "clips", host: "desk.example", path_prefix: "/clips/", kind: "unsafe", timeout_ms: 3000,
              target_latency_ms: 600, priority: 0, service: "previews", max_attempts: 3, stretch: 1.6}],
    services: [{name: "previews", enforces_capacity: true}], limits: {}}' >"$work/manifest-$1"
}
