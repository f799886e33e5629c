#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Shows with real processes that two builds understand each other: the new one goes on with data and settings that the
# old one wrote, and both serve in one group, each leading and following, with relays on either side.
# usage: meta/old_beside_new.sh OLD_BUILD_FOLDER NEW_BUILD_FOLDER
set -euo pipefail
old_bin=$(cd "$1" && pwd)/bin
new_bin=$(cd "$2" && pwd)/bin
set -- "$2"
source "$(dirname "${BASH_SOURCE[0]}")/../tests/processes/harness.sh"

controllers=(c1 c2 c3 c4 c5)
entries=(n1 n2)
source tests/processes/nodes.sh
all=("${controllers[@]}" "${entries[@]}")

declare -A build_of=()
bin_of() { if [ "${build_of[$1]}" = old ]; then echo "$old_bin"; else echo "$new_bin"; fi; }
start_node() { start_other "$1" "$(bin_of "$1")/sumacd" --settings "$work/$1/settings.json"; }
use_build() {
  local name
  for name in "${all[@]}"; do build_of[$name]=$1; done
}
# Relays also with few workers, and a snapshot within the test.
write_settings() {
  write_node "$1" "$(role_of "$1")" true
  jq '.policy = {relays_from_workers: 10} | .group = {snapshot_every: 50}' "$work/$1/settings.json" >"$work/$1/settings.next"
  mv "$work/$1/settings.next" "$work/$1/settings.json"
}
stop_nodes() {
  local name
  for name in "${entries[@]}" "${controllers[@]}"; do signal_process "$name" TERM; done
}
connections() { curl -s --max-time 2 "http://$(node_ip "$1"):7071/metrics" | awk '$1 == "sumac_connections{kind=\"workers\"}" { print $2 }'; }
calls_workers() { [ "$(connections "$1")" -gt 0 ]; }
calls_nobody() { [ "$(connections "$1")" = 0 ]; }
verifies() { "$1" storage verify "$work/$2/data" | grep -q whole; }
sees_workers() { "$1" --json --operator tester --address "$(node_ip "$2"):7070" workers | jq -e '.document | length >= 40' >/dev/null; }
leads_now() { leader >/dev/null; }

jobs=()
accept_jobs() {
  local number id
  for number in $(seq "$1"); do
    id=$(new_job)
    jobs+=("$id")
    check "job $number is accepted $3 through $2" until_true 10 submitted "$2" "$id" 12
  done
}
are_done() {
  local id
  for id in "${jobs[@]}"; do check "job $id is done" until_true 20 state_is n1 "$id" done; done
  jobs=()
}

use_build old
for name in "${all[@]}"; do
  write_settings "$name"
  start_node "$name"
done
manifest 1
manifest 2
check "old: the group takes a declaration" until_true 10 declared 1
check "old: an entry is ready" until_true 5 ready n1
start_other workers "$old_bin/task_workers_stand_in" --count 40 --ip 127.0.1.21 --controls "$controls" --work-ms 300
accept_jobs 5 n1 "by the old build"
kept=${jobs[0]}
are_done
accept_jobs 5 n2 "before all stop"
stop_nodes

use_build new
for name in "${controllers[@]}"; do check "new: verifies the old data of $name" verifies "$new_bin/sumacctl" "$name"; done
for name in "${all[@]}"; do
  check "new: takes the old settings of $name" "$new_bin/sumacd" --settings "$work/$name/settings.json" --check
  start_node "$name"
done
check "new: an entry is ready" until_true 10 ready n1
expect "new: the old declaration is in force" "$(version_at 1)" 1
check "new: the old job is still done" state_is n1 "$kept" done
are_done
accept_jobs 5 n1 "by the new build"
are_done
check "new: a newer declaration" until_true 5 declared 2 3
stop_nodes
for name in "${controllers[@]}"; do check "old: verifies the new data of $name" verifies "$old_bin/sumacctl" "$name"; done

for name in c1 c2 n1; do build_of[$name]=old; done
for name in "${all[@]}"; do start_node "$name"; done
check "both: an entry is ready" until_true 10 ready n1
expect "both: the declaration" "$(version_at 2)$(version_at 4)" 22
have_led=" "
for _ in $(seq 14); do
  check "a controller leads" until_true 15 leads_now
  lead=$(leader)
  build=${build_of[$lead]}
  if [[ $have_led != *" $build "* ]]; then
    accept_jobs 3 n1 "under $lead ($build)"
    accept_jobs 3 n2 "under $lead ($build)"
    check "$lead ($build) makes no calls itself" until_true 10 calls_nobody "$lead"
    for name in "${controllers[@]}"; do
      [ "$name" = "$lead" ] || check "$name (${build_of[$name]}) calls workers for it" until_true 5 calls_workers "$name"
    done
    are_done
    check "old sumacctl sees the workers" sees_workers "$old_bin/sumacctl" n2
    check "new sumacctl sees the workers" sees_workers "$new_bin/sumacctl" n1
    have_led+="$build "
  fi
  if [[ $have_led == *" old "* && $have_led == *" new "* ]]; then
    break
  fi
  accept_jobs 2 n2 "before $lead ($build) is killed"
  signal_process "$lead" KILL
  check "another controller leads" until_true 15 leads_now
  are_done
  start_node "$lead"
done
check "both builds have led" [ "${#have_led}" = 9 ]
finish
