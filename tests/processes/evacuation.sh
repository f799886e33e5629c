#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# An evacuation of a data centre through real processes: nothing starts there, over a kill -9 of the leader, an empty
# disk in place of another and a loss of power of all, until it is withdrawn; and the operators' own door.
# usage: evacuation.sh BUILD_FOLDER
set -euo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/harness.sh"

controllers=(c1 c2 c3 c4 c5)
entries=(n1 n2)
source "$(dirname "${BASH_SOURCE[0]}")/nodes.sh"
all=("${controllers[@]}" "${entries[@]}")

# evacuation VERB CONTROLLER DATA_CENTRE: prints the status of the platform's call.
evacuation() { curl -s --max-time 1 -o "$work/body" -w '%{http_code}' -X "$1" "http://$(node_ip "$2"):8623/evacuate/$3"; }
ordered() { [ "$(evacuation "$@")" = 200 ]; }
# started_in DATA_CENTRE: how many tasks its workers have started so far.
started_in() { grep -c '"event":"start"' "$work/$1.log" || true; }
# use_is ENTRY DATA_CENTRE USE
use_is() { ctl_finds ".document[0].use == \"$3\"" "$1" data-centres "$2"; }
# sumacctl's code for a command that is refused.
code_of() { ctl "$@" || jq -r .code "$work/ctl.json"; }
# runs_elsewhere TEXT: a job is done, and no task of it was started in dc-a.
runs_elsewhere() {
  local before id
  before=$(started_in dc-a)
  id=$(new_job)
  check "$1: a job is accepted" until_true 15 submitted n1 "$id" 12
  check "$1: it is done" until_true 20 state_is n2 "$id" done
  expect "$1: nothing of it was started in dc-a" "$(started_in dc-a)" "$before"
}

for name in "${all[@]}"; do
  write_node "$name" "$(role_of "$name")" true
  change_settings "$name" '.data_centres = ["dc-a", "dc-b"] | .platform_times = {evacuation_ms: 1000}'
  start_node "$name"
done
manifest 1
check "the group takes a declaration" until_true 15 declared 1
check "an entry is ready" until_true 5 ready n1
start_other workers-a "$bin/task_workers_stand_in" --count 4 --ip 127.0.1.21 --controls "$controls" --process a --data-centre dc-a --log "$work/dc-a.log"
start_other workers-b "$bin/task_workers_stand_in" --count 4 --ip 127.0.1.22 --controls "$controls" --process b --data-centre dc-b --log "$work/dc-b.log"
for _ in 1 2 3 4; do
  id=$(new_job)
  check "a job is accepted" until_true 15 submitted n1 "$id" 16
  check "it is done" until_true 20 state_is n1 "$id" done
done
check "both data centres have worked" [ "$(started_in dc-a)" -gt 0 ]

check "an evacuation is acknowledged" until_true 5 ordered POST c2 dc-a
expect "and again" "$(evacuation POST c4 dc-a)" 200
expect "not one that nobody knows" "$(evacuation POST c1 dc-z)" 404
check "any process shows it" until_true 5 use_is n2 dc-a evacuated
check "by which call" ctl_finds '.document[0].requested_by == "POST /evacuate/dc-a" and .document[0].version == 1' n1 data-centres dc-a
runs_elsewhere "evacuated"

victim=$(leader)
signal_process "$victim" KILL
echo "        killed $victim"
runs_elsewhere "under the next leader"
start_node "$victim"

lost=c3
[ "$(leader)" != c3 ] || lost=c2
signal_process "$lost" KILL
rm -rf "${work:?}/$lost/data"
change_settings "$lost" '.is_first_start = false'
start_node "$lost"
votes_again() { ctl_finds "[.document[] | select(.kind == \"voter\" and (.node | startswith(\"$(node_ip "$lost"):\")))] | length == 1 and (.[0].node | endswith(\".1\") | not)" n1 controllers; }
check "a controller with an empty disk votes again" until_true 30 votes_again

for name in "${all[@]}"; do signal_process "$name" KILL; done
for name in "${all[@]}"; do start_node "$name"; done
check "an entry is ready after all were killed" until_true 15 ready n1
check "the evacuation holds" until_true 10 use_is n1 dc-a evacuated
runs_elsewhere "after all were killed"

expect "an entry takes no order" "$(code_of n1 restore dc-a)" 2007
check "a controller does" until_true 5 ctl c1 restore dc-a
check "the data centre is in use" use_is n1 dc-a in-use
before=$(started_in dc-a)
used_again() {
  submitted n1 "$(new_job)" 16 && [ "$(started_in dc-a)" -gt "$before" ]
}
check "and works again" until_true 15 used_again

check "an operator evacuates the other one" until_true 5 ctl c1 evacuate dc-b
expect "the last one in use is refused" "$(code_of c1 evacuate dc-a)" 2007
check "and stays in use" use_is n1 dc-a in-use
check "unless it is forced" until_true 5 ctl c1 --force evacuate dc-a
check "then nothing is in use" use_is n1 dc-a evacuated
check "the platform gives one back" until_true 5 ordered DELETE c2 dc-b
check "metrics tell" [ "$(curl -s --max-time 2 "http://127.0.1.1:7071/metrics" | grep -c '^sumac_data_centre_evacuated{data_centre="dc-a"} 1')" = 1 ]
check "each change is logged" [ "$(grep -l '"event":"data-centre-changed"' "$work"/c*/out.txt | wc -l)" = 5 ]
finish
