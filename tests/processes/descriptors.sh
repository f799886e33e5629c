#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Controllers that may hold fewer file descriptors than there are workers. Controllers ended by themselves
# ("snapshot ...: open: Too many open files [4002]") when the connections to 1,100 workers had used up the 4,324
# that a machine allowed. Jobs must be done and no process may end, with 50 and with 500 workers.
# usage: descriptors.sh BUILD_FOLDER
set -euo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/harness.sh"

controllers=(c1 c2 c3 c4 c5)
entries=(n1)
descriptors=300
source "$(dirname "${BASH_SOURCE[0]}")/nodes.sh"

# Snapshots every few entries, so that many are written while descriptors are short.
for name in "${controllers[@]}" "${entries[@]}"; do
  write_node "$name" "$(role_of "$name")" true
  change_settings "$name" '.group = {snapshot_every: 20}'
  start_node "$name" "$descriptors"
done
refuses_more() { ! bash -c 'ulimit -Sn 300; exec "$0" --settings "$1"' "$bin/sumacd" "$work/more.json" >"$work/more.txt" 2>&1; }
jq '.most_descriptors = 5000' "$work/c1/settings.json" >"$work/more.json"
check "a setting that asks for more than is allowed is refused" refuses_more
check "with both figures" grep -q '5000.*300' "$work/more.txt"

manifest 1
check "the group forms and takes a declaration" until_true 10 declared 1
check "the entry is ready" until_true 5 ready n1
held() { ls "/proc/${pids[$1]}/fd" | wc -l; }
are_all_within_limit() {
  local name
  for name in "${controllers[@]}"; do
    [ "$(held "$name")" -lt "$descriptors" ] || return 1
  done
}
run_jobs() {
  local number job
  for number in $(seq 1 20); do
    job=$(new_job)
    check "job $number is accepted" until_true 10 submitted n1 "$job" 8
    jobs+=("$job")
  done
  are_all_within_limit || echo "FAILED  descriptors beyond the limit"
  for job in "${jobs[@]}"; do
    check "job $job is done" until_true 30 state_is n1 "$job" done
  done
}

for count in 50 500; do
  start_other "workers$count" "$bin/task_workers_stand_in" --count "$count" --ip "127.0.1.$((20 + count / 50))" \
    --controls "$controls" --work-ms 200 --process "w$count"
  jobs=()
  run_jobs
done
check "all are within their limit" are_all_within_limit
for name in "${controllers[@]}" "${entries[@]}"; do
  check "$name has not ended" kill -0 "${pids[$name]}"
  expect "$name started once" "$(grep -c '"event":"started"' "$work/$name/out.txt")" 1
done
ordered() { grep -ho '"event":"snapshot"' "$work"/c?/out.txt | wc -l; }
check "snapshots were written meanwhile" [ "$(ordered)" -gt 5 ]
finish
