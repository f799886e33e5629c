#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# A confirmed cancel that its submission arrives after: through a frozen entry, under the next leader, and
# after all controllers lost their processes. The job was accepted, and all of it ran.
# usage: late_submissions.sh BUILD_FOLDER
set -euo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/harness.sh"

controllers=(c1 c2 c3 c4 c5)
entries=(n1 n2)
source "$(dirname "${BASH_SOURCE[0]}")/nodes.sh"

write_own_node() {
  write_node "$1" "$(role_of "$1")" "$2"
  change_settings "$1" '.group = {snapshot_every: 20}'
}
for name in "${controllers[@]}" "${entries[@]}"; do
  write_own_node "$name" true
  start_node "$name"
done
manifest 1
check "the group forms and takes a declaration" until_true 10 declared 1
check "entries are ready" until_true 5 ready n1
start_other workers "$bin/task_workers_stand_in" --count 4 --ip 127.0.1.21 --controls "$controls" --work-ms 200 --log "$work/workers.jsonl"
cancel() { call -X DELETE "$(job_url "$1" "$2")"; }
# runs_work N: a job of our own was run, so the group serves.
runs_work() {
  local id
  id=$(new_job)
  until_true 10 submitted n2 "$id" 1 && until_true 10 state_is n2 "$id" done
}
check "a job runs" runs_work

frozen=$(new_job)
signal_process n1 STOP
expect "a frozen entry answers nothing" "$(call --max-time 1 -X POST "$(job_url n1 "$frozen")" -d '{"spec":"x","steps":[{"count":1,"cpu":500}]}')" 000
expect "its cancel is confirmed" "$(cancel n2 "$frozen")" 410
signal_process n1 CONT
is_refused() { grep -h '"event":"job-not-accepted"' "$work"/c*/out.txt | grep -q "$1"; }
check "the late submission is refused" until_true 10 is_refused "$frozen"

early=$(new_job)
expect "a cancel that precedes its submission" "$(cancel n1 "$early")" 410
expect "a submission after it" "$(submit n2 "$early" 1)" 410
expect "it says that the job has not run" "$(jq -r .code "$work/body")" 1014
expect "the job is not shown" "$(call "$(job_url n1 "$early")")" 410
expect "a repeated cancel" "$(cancel n2 "$early")" 410

# The records of what was committed before go into a snapshot.
for number in $(seq 30); do cancel n1 "$(new_job)" >/dev/null; done
victim=$(leader)
signal_process "$victim" KILL
echo "        killed $victim"
answers() { [ "$(submit "$1" "$2" 1)" = "$3" ]; }
check "the next leader refuses it" until_true 10 answers n1 "$early" 410
write_own_node "$victim" false
start_node "$victim"
check "a job runs under it" runs_work

for name in "${controllers[@]}"; do
  write_own_node "$name" false
  signal_process "$name" KILL
done
for name in "${controllers[@]}"; do start_node "$name"; done
check "after all were killed at once it is refused" until_true 15 answers n2 "$early" 410
check "and jobs run" runs_work
expect "and the job of the frozen entry" "$(submit n1 "$frozen" 1)" 410
for id in "$frozen" "$early"; do
  expect "no worker has seen job $id" "$(grep -c "\"task\":\"$id" "$work/workers.jsonl")" 0
done
finish
