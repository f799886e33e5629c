#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# A leader made all calls to workers by itself while the other controllers were idle. They have to make them, and
# no job may be lost when one of them stands still or ends.
# usage: relays.sh BUILD_FOLDER
set -euo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/harness.sh"

controllers=(c1 c2 c3 c4 c5)
entries=(n1)
source "$(dirname "${BASH_SOURCE[0]}")/nodes.sh"

# use_relays NAME: with as few workers as here, too.
use_relays() { change_settings "$1" '.policy = {relays_from_workers: 10}'; }

for name in "${controllers[@]}" "${entries[@]}"; do
  write_node "$name" "$(role_of "$name")" true
  use_relays "$name"
  start_node "$name"
done
manifest 1
check "the group forms and takes a declaration" until_true 10 declared 1
check "the entry is ready" until_true 5 ready n1
start_other workers "$bin/task_workers_stand_in" --count 40 --ip 127.0.1.21 --controls "$controls" --work-ms 300

connections() { curl -s --max-time 2 "http://$(node_ip "$1"):7071/metrics" | awk '$1 == "sumac_connections{kind=\"workers\"}" { print $2 }'; }
others_call() {
  local name count
  for name in "${controllers[@]}"; do
    [ "$name" != "$(leader)" ] || continue
    count=$(connections "$name")
    [ "${count:-0}" -gt 0 ] || return 1
  done
}
leader_calls_nobody() { [ "$(connections "$(leader)")" = 0 ]; }

jobs=()
accept_jobs() {
  local number id
  for number in $(seq "$1"); do
    id=$(new_job)
    jobs+=("$id")
    check "job $number is accepted $2" until_true 10 submitted n1 "$id" 12
  done
}
are_done() {
  local id
  for id in "${jobs[@]}"; do
    check "job $id is done" until_true 20 state_is n1 "$id" done
  done
  jobs=()
}
# A controller that does not lead.
follower() {
  local name
  for name in "${controllers[@]}"; do
    if [ -n "${pids[$name]:-}" ] && [ "$name" != "$(leader)" ]; then
      echo "$name"
      return 0
    fi
  done
}

accept_jobs 5 "with all controllers up"
check "all other controllers hold connections to workers" until_true 10 others_call
check "the leader holds none" until_true 10 leader_calls_nobody
are_done

victim=$(follower)
accept_jobs 5 "before $victim stands still"
signal_process "$victim" STOP
accept_jobs 3 "while it does"
are_done
signal_process "$victim" CONT
check "it makes calls again" until_true 10 others_call

accept_jobs 5 "before $victim ends"
signal_process "$victim" KILL
accept_jobs 3 "after that"
are_done
write_node "$victim" controller false
use_relays "$victim"
start_node "$victim"
check "it makes calls once it is back" until_true 15 others_call

accept_jobs 5 "before the leader ends"
signal_process "$(leader)" KILL
are_done
finish
