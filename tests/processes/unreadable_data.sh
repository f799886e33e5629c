#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# A controller that could not read its data ended at each start. One such controller is replaced by itself; if all are
# in that state, they wait and keep the data for a program that can read it.
# usage: unreadable_data.sh BUILD_FOLDER
set -euo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/harness.sh"

controllers=(c1 c2 c3 c4 c5)
node_network=127.0.13
source "$(dirname "${BASH_SOURCE[0]}")/nodes.sh"

write_controller() {
  write_node "$1" controller "$2"
  change_settings "$1" '.group = {heartbeat_ms: 100, election_timeout_ms: 450, snapshot_every: 1000}'
}
# damage NAME: overwrites the beginning of each log segment.
damage() {
  local file
  for file in "$work/$1"/data/log-*.seg; do
    printf 'damaged' | dd of="$file" conv=notrunc status=none
  done
}
logged() { grep -q "\"event\":\"$2\"" "$work/$1/out.txt"; }
gauge() { curl -s --max-time 2 "http://$(node_ip "$1"):7071/metrics" | awk '$1 == "sumac_is_data_unreadable" {print $2}'; }
gauge_is() { [ "$(gauge "$1")" = "$2" ]; }
voters() { ctl "$(leader)" controllers && jq -r '.document[] | select(.kind == "voter") | .node' "$work/ctl.json"; }
# all_vote [NODE]: five controllers vote, and the replica NODE is none of them.
all_vote() { [ "$(voters | wc -l)" = 5 ] && ! voters | grep -qx "${1:-none}"; }
runs() { kill -0 "${pids[$1]}"; }

for name in "${controllers[@]}"; do
  write_controller "$name" true
  start_node "$name"
done
manifest 1
manifest 2
check "the group forms and takes a declaration" until_true 20 declared 1
check "five controllers vote" until_true 20 all_vote

old=$(jq -r .node "$work/c5/data/identity.json")
signal_process c5 KILL
damage c5
write_controller c5 false
start_node c5
check "the one whose data can't be read says so" until_true 10 logged c5 data-unreadable
check "and takes the place of its former self" until_true 20 all_vote "$old"
check "without having ended" runs c5
check "its data is kept" test -f "$work/c5/data/identity.json.unreadable"
check "its metrics say that its data can be read" until_true 5 gauge_is c5 0
check "another declaration is taken" until_true 5 declared 2
reads_at_c5() { [ "$(version_at 5)" = 2 ]; }
check "and known to it" until_true 10 reads_at_c5

for name in "${controllers[@]}"; do signal_process "$name" KILL; done
for name in "${controllers[@]}"; do
  cp -r "$work/$name/data" "$work/$name/whole"
  damage "$name"
  write_controller "$name" false
  start_node "$name"
done
for name in "${controllers[@]}"; do
  check "$name waits" until_true 10 gauge_is "$name" 1
done
sleep 2
for name in "${controllers[@]}"; do
  check "$name still runs" runs "$name"
  check "$name keeps its data" test -f "$work/$name/data/identity.json"
done
for name in "${controllers[@]}"; do
  kill -TERM "${pids[$name]}"
  check "$name ends in order when it is asked to" wait "${pids[$name]}"
  unset "pids[$name]"
done
for name in "${controllers[@]}"; do
  rm -rf "$work/$name/data"
  mv "$work/$name/whole" "$work/$name/data"
  start_node "$name"
done
check "once the data can be read, the declaration is back" until_true 20 reads_at_c5
finish
