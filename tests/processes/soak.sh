#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# A randomized soak of the path of jobs: controllers with disks, entries, workers behind a proxy and
# callers, all as processes of their own, under faults from outside that overlap. The seed alone chooses
# the plan of faults, which is printed first. What callers and workers saw is checked while it runs and
# once more at the end.
# usage: soak.sh BUILD_FOLDER SEED SECONDS [NETWORK]
# NETWORK is the third number of the loopback addresses. With SUMAC_SOAK_KEEP set, the logs of a soak that
# fails are copied to that folder, with SUMAC_SOAK_KEEP_ALL those of all.
set -euo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/harness.sh"

seed=$2
seconds=$3
network=127.0.${4:-40}
RANDOM=$seed

# Two soaks on the same addresses would answer each other's calls.
exec {lock}>"/tmp/sumac-soak-$network.lock"
flock -w 120 "$lock" || {
  echo "FAILED  another soak uses the network $network"
  exit 1
}

# How old events must be for a check while the soak runs: a paused process logs late.
settled_ms=15000
# How long jobs may take to end once all faults are over.
settle_seconds=45

# draw LOW HIGH: a number of LOW to HIGH, in `drawn`; no subshell, which would not carry RANDOM on.
draw() { drawn=$(($1 + (RANDOM * 32768 + RANDOM) % ($2 - $1 + 1))); }
# pick WORD...: one of the words, in `picked`.
pick() {
  draw 1 $#
  picked=${!drawn}
}

controllers=(c1 c2 c3)
draw 0 1
[ "$drawn" = 0 ] || controllers+=(c4 c5)
entries=(n1 n2)
workers=(w1 w2 w3)
workers_each=2
nodes=("${controllers[@]}" "${entries[@]}")

ip_of_node() { case "$1" in c*) echo "$network.${1#c}" ;; n*) echo "$network.1${1#n}" ;; esac; }
proxy_door=$network.90:7000
# Workers announce the proxy's addresses, and reach controllers through it too.
links=()
link_addresses=()
for name in "${workers[@]}"; do
  for port in $(seq 7101 $((7100 + workers_each))); do
    links+=("$network.3${name#w}:$port=$network.5${name#w}:$port")
    link_addresses+=("$network.3${name#w}:$port")
  done
done
controls=""
for name in "${controllers[@]}"; do
  links+=("$network.7${name#c}:8623=$(ip_of_node "$name"):8623")
  link_addresses+=("$network.7${name#c}:8623")
  controls+="${controls:+,}$network.7${name#c}:8623"
done

# write_node NAME IS_FIRST_START
write_node() {
  local role=entry
  [[ $1 != c* ]] || role=controller
  mkdir -p "$work/$1"
  jq -n --arg name "$1" --arg role "$role" --arg ip "$(ip_of_node "$1")" --argjson first "$2" \
    --argjson seeds "[\"$network.1:1\",\"$network.2:1\",\"$network.3:1\"]" --arg data "$work/$1/data" \
    --argjson losses $((${#controllers[@]} / 2)) '{
      label: $name, data_centre: "dc-1", role: $role, ip: $ip, peer_port: 7060, seeds: $seeds,
      is_first_start: $first, tolerated_losses: $losses, operators_door: "\($ip):7070"}
      + (if $role == "controller" then {data_folder: $data, control_door: "\($ip):8623"}
         else {caller_door: "\($ip):8624", health_door: "\($ip):8622"} end)' >"$work/$1/settings.json"
}

start_process() {
  case "$1" in
    # Those of w1 have a new name in each life, the others keep theirs.
    w*) start_other "$1" "$bin/task_workers_stand_in" $([ "$1" = w1 ] || echo --names-stay) \
      --count "$workers_each" --ip "$network.3${1#w}" \
      --listen-ip "$network.5${1#w}" --controls "$controls" --work-ms 400 --millicores 2000 \
      --leave-ms 2500 --process "$1" --log "$work/events-$1" ;;
    *) start_other "$1" "$bin/sumacd" --settings "$work/$1/settings.json" ;;
  esac
}

note() { echo "{\"at\":$(date +%s%3N),\"event\":\"$1\",\"$2\":\"$3\"}" >>"$work/events-faults"; }
note_harm() {
  local port
  [[ $1 == w* ]] || return 0
  for port in $(seq 7101 $((7100 + workers_each))); do
    note harmed address "$network.3${1#w}:$port"
  done
}

# The manifest of one version; versions differ in a timeout and in a route that comes and goes.
manifest() {
  jq -n --argjson version "$1" '{version: $version,
    routes: ([{name: "clips", path_prefix: "/clips/", priority: 0},
              {name: "lasting", path_prefix: "/lasting/", priority: 1},
              {name: "extra", path_prefix: "/extra/", priority: 1}][0:2 + $version % 2]
      | map(. + {host: "desk.example", kind: "unsafe", timeout_ms: (3000 + $version), target_latency_ms: 600,
                 service: "previews", max_attempts: 3, stretch: 1.6})),
    services: [{name: "previews", enforces_capacity: true}], limits: {}}'
}
# declare_version VERSION CONTROLLER
declare_version() {
  local status
  status=$(manifest "$1" | curl -s --max-time 2 -o /dev/null -w '%{http_code}' -X PUT \
    "http://$(ip_of_node "$2"):8623/config" -d @-) || return 1
  [ "$status" = 200 ]
}

# plan AT ACTION TARGET [ARGUMENT]: one line of the plan.
plan() { printf '%d %s\n' "$1" "${*:2}"; }

# Prints what happens when, in ms from the start.
make_plan() {
  local at=3000 version=1 end=$((seconds * 1000)) link
  # A subshell draws numbers of its own unless it is given a seed.
  RANDOM=$((seed + 1))
  while true; do
    draw 100 1800
    at=$((at + drawn))
    [ "$at" -lt "$end" ] || break
    pick kill kill term term pause pause pause hup declare worker-kill worker-term worker-pause worker-stall blackout \
      link link link link link
    case "$picked" in
      kill | term)
        local action=${picked^^}
        pick "${nodes[@]}"
        plan "$at" "$action" "$picked"
        draw 100 4000
        plan $((at + drawn)) START "$picked"
        ;;
      pause)
        pick "${nodes[@]}"
        plan "$at" STOP "$picked"
        draw 100 3500
        plan $((at + drawn)) CONT "$picked"
        ;;
      hup)
        pick "${nodes[@]}"
        plan "$at" HUP "$picked"
        ;;
      declare)
        pick "${controllers[@]}"
        draw 1 3
        version=$((version + drawn))
        plan "$at" declare "$picked" "$version"
        ;;
      worker-kill | worker-term)
        local action=KILL
        [ "$picked" = worker-kill ] || action=TERM
        pick "${workers[@]}"
        plan "$at" "$action" "$picked"
        draw 100 4000
        plan $((at + drawn)) START "$picked"
        ;;
      worker-pause)
        pick "${workers[@]}"
        plan "$at" STOP "$picked"
        # Up to well beyond a lease.
        draw 100 9000
        plan $((at + drawn)) CONT "$picked"
        ;;
      worker-stall)
        # From WINCH to URG they stand still; neither ends one that does not take signals yet.
        pick "${workers[@]}"
        plan "$at" WINCH "$picked"
        draw 100 3000
        plan $((at + drawn)) URG "$picked"
        ;;
      blackout)
        draw 200 2500
        for name in "${controllers[@]}"; do
          plan "$at" KILL "$name"
          plan $((at + drawn)) START "$name"
        done
        ;;
      link)
        draw 0 $((${#links[@]} - 1))
        link=$drawn
        pick delay reset silence silence cut-to cut-from refuse
        local fault=$picked
        draw 50 700
        plan "$at" link "$link" "$fault/$drawn"
        draw 200 3000
        plan $((at + drawn)) link "$link" pass/0
        ;;
    esac
  done
}

is_alive() { [ -n "${pids[$1]:-}" ] && kill -0 "${pids[$1]}" 2>/dev/null; }

# Processes that were told to end, and how.
declare -A told=()
# Processes that start again once they have ended.
declare -A waits_to_start=()

end_process() {
  is_alive "$1" || return 0
  told[$1]=${told[$1]:-$2}
  [ "$2" = TERM ] || told[$1]=KILL
  if [ "$2" = KILL ] && [[ $1 == w* ]]; then
    # A paused worker would die without a word about the leases that lapsed meanwhile.
    kill -CONT "${pids[$1]}"
    sleep 0.1
  fi
  [ "$2" = TERM ] || note killed process "$1"
  note_harm "$1"
  kill "-$2" "${pids[$1]}"
}

# Notes what has ended, and starts again what waits for that.
look_after() {
  local name code
  for name in "${nodes[@]}" "${workers[@]}"; do
    if [ -n "${pids[$name]:-}" ] && ! is_alive "$name"; then
      code=0
      wait "${pids[$name]}" || code=$?
      unset "pids[$name]"
      if [ -z "${told[$name]:-}" ] || { [ "${told[$name]}" = TERM ] && [ "$code" != 0 ]; }; then
        echo "$name ended with $code after ${told[$name]:-no signal}"
        note own-end process "$name"
      fi
      unset "told[$name]"
    fi
    if [ -n "${waits_to_start[$name]:-}" ] && [ -z "${pids[$name]:-}" ]; then
      unset "waits_to_start[$name]"
      start_process "$name"
    fi
  done
}

# Operators that are at it.
declares=()

call_proxy() { curl -s --max-time 2 -o /dev/null -X POST "http://$proxy_door/$1/$2"; }

# carry_out ACTION TARGET [ARGUMENT]
carry_out() {
  case "$1" in
    KILL | TERM) end_process "$2" "$1" ;;
    START) [ -z "${told[$2]:-}" ] && is_alive "$2" || waits_to_start[$2]=1 ;;
    STOP | CONT | HUP | WINCH | URG)
      if is_alive "$2"; then
        note_harm "$2"
        kill "-$1" "${pids[$2]}"
      fi
      ;;
    declare)
      until_true 1 declare_version "$3" "$2" &
      declares+=("$!")
      ;;
    link)
      note harmed address "${link_addresses[$2]}"
      call_proxy "$2" "$3"
      ;;
  esac
}

# The kinds of broken promises that KNOWN-RED.txt lists; they are printed and passed over.
known=$([ ! -f KNOWN-RED.txt ] || sed -n 's|^soak/\([^:]*\):.*|BROKEN \1:|p' KNOWN-RED.txt)

# check_events AGE_MS: whether the checker read all and found nothing that is not known.
check_events() {
  "$bin/soak_checker" "$1" "$work"/events-* >"$work/checked" || true
  tail -1 "$work/checked" | grep -q ' broken$' || return 1
  ! grep '^BROKEN' "$work/checked" | grep -vqF "${known:-nothing is known}"
}

run_plan() {
  local began at checked_at=0 action
  began=$(date +%s%3N)
  while read -r at action; do
    while [ $(($(date +%s%3N) - began)) -lt "$at" ]; do
      look_after
      sleep 0.05
    done
    # shellcheck disable=SC2086
    carry_out $action
    echo "$(date +%s%3N) $action" >>"$work/carried-out"
    if [ $((at - checked_at)) -gt 5000 ]; then
      checked_at=$at
      check_events "$settled_ms" || return 1
    fi
  done <"$work/plan"
}

heal() {
  local link name
  for link in "${!links[@]}"; do call_proxy "$link" pass/0; done
  for name in "${nodes[@]}" "${workers[@]}"; do
    carry_out CONT "$name"
    [[ $name != w* ]] || carry_out URG "$name"
    carry_out START "$name"
  done
  # Without a process id this would wait for all.
  [ "${#declares[@]}" = 0 ] || wait "${declares[@]}" || true
}

make_plan | sort -n -s >"$work/plan"
echo "seed $seed: ${#controllers[@]} controllers, $(wc -l <"$work/plan") steps in $seconds s"
cat "$work/plan"

start_other proxy "$bin/fault_proxy_stand_in" "$proxy_door" "${links[@]}"
check "the proxy is up" until_true 5 grep -q ready "$work/proxy/out.txt"
for name in "${nodes[@]}"; do
  write_node "$name" true
  start_process "$name"
done
check "the group forms and takes a declaration" until_true 15 declare_version 1 c1
for name in "${nodes[@]}"; do write_node "$name" false; done
for name in "${workers[@]}"; do start_process "$name"; done
start_other callers "$bin/job_caller_stand_in" --entries "$network.11:8624,$network.12:8624" \
  --host desk.example --prefix /clips/ --lasting-prefix /lasting/ --log "$work/events-callers" \
  --seed "$seed" --threads 12 --seconds "$seconds" --settle-seconds "$settle_seconds"
check "no promise is broken while faults come" run_plan
heal
callers_are_over() {
  look_after
  ! is_alive callers
}
check "callers' jobs end" until_true $((seconds + settle_seconds + 10)) callers_are_over
check "no promise is broken in the whole history" check_events 0
grep -F "${known:-nothing is known}" "$work/checked" | sed 's/^BROKEN/KNOWN-RED/' || true
grep -vF "${known:-nothing is known}" "$work/checked"
if [ -n "${SUMAC_SOAK_KEEP:-}" ] && { [ "$failures" != 0 ] || [ -n "${SUMAC_SOAK_KEEP_ALL:-}" ]; }; then
  mkdir -p "$SUMAC_SOAK_KEEP"
  cp -r "$work" "$SUMAC_SOAK_KEEP/seed-$seed"
  echo "logs kept in $SUMAC_SOAK_KEEP/seed-$seed"
fi
finish
