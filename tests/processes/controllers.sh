#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Three real controllers through kill -9, SIGSTOP, lost disks, a planned stop and raced operators.
# usage: controllers.sh BUILD_FOLDER
set -euo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/harness.sh"

process_names=(e1 e2 e3 e4)
roles=([e1]='"entry","controller"' [e2]='"entry","controller"' [e3]='"entry","controller"' [e4]='"entry"')
extra_settings='{"group":{"snapshot_every":40}}'
write_all_settings
for name in e1 e2 e3; do format "$name"; done
for name in "${process_names[@]}"; do start "$name"; done
until_true 10 leader_name

# apply_next CAPACITY: applies a declaration over the one in force.
revision() { ctl --json get declaration | jq .document.revision; }
declaration() { echo "{\"pools\":[{\"name\":\"p\",\"capacity\":$1}]}"; }
apply_next() {
  local now
  now=$(revision)
  declaration "$1" | ctl --revision "$now" apply - >/dev/null
}
capacity() { ctl --json get pools p | jq '.document[0].capacity'; }
status_of() { operators="$(ip_of "$1"):$operators_port" ctl --timeout-ms 1000 --json status; }
view_of() { status_of "$1" | jq .document.view_version; }

check "apply --wait names every entry" bash -c "$(declare -f ctl declaration operator_addresses ip_of); $(declare -p process_names operators_port bin); \
  declaration 1 | ctl --json --revision 0 --wait apply - | jq -e '.document.in_force | length == 4' >/dev/null"

# Two operators with equal numbers: exactly one wins.
declaration 2 >"$work/a.json"
declaration 3 >"$work/b.json"
ctl --json --operator ana --revision 1 apply "$work/a.json" >"$work/a.out" &
racers=$!
ctl --json --operator ben --revision 1 apply "$work/b.json" >"$work/b.out" || true
wait "$racers" || true
wins=$(jq -s '[.[] | select(.code == 0)] | length' "$work/a.out" "$work/b.out")
conflicts=$(jq -s '[.[] | select(.code == 2002)] | length' "$work/a.out" "$work/b.out")
check "of two raced declarations one wins and one conflicts" [ "$wins$conflicts" = 11 ]

# Enough changes for several snapshots.
for number in $(seq 60); do apply_next "$number"; done
check "sixty changes are in force" [ "$(revision)" = 62 ]

# A silent cut of the leader.
old=$(leader_name)
signal_process "$old" STOP
new_leader_not_old() { [ "$(leader_name)" != "$old" ]; }
others=()
for name in "${process_names[@]}"; do [ "$name" = "$old" ] || others+=("$(ip_of "$name"):$operators_port"); done
operators=$(IFS=,; echo "${others[*]}")
export operators
check "another controller leads while the leader is frozen" until_true 10 apply_next 70
frozen_revision=$(revision)
unset operators
signal_process "$old" CONT
check "the old leader answers nothing stale when it wakes" \
  [ "$(operators="$(ip_of "$old"):$operators_port" revision)" = "$frozen_revision" ]

# A voter's disk is wiped: it comes back as another replica, learns, and votes again.
first_controller_but() {
  local name
  for name in e1 e2 e3; do
    if [ "$name" != "$1" ]; then
      echo "$name"
      return
    fi
  done
}
until_true 10 leader_name
lost=$(first_controller_but "$(leader_name)")
signal_process "$lost" KILL
rm -rf "${work:?}/$lost/data"
start "$lost"
votes_again() {
  ctl --json get controllers |
    jq -e --arg name "$lost" '[.document[] | select(.kind == "voter")] |
      length == 3 and any(.[]; (.node | startswith($name + ".")) and .node != ($name + ".1"))' >/dev/null
}
check "a wiped voter rejoins under a new incarnation and votes again" until_true 30 votes_again
check "and holds the latest revision" [ "$(operators="$(ip_of "$lost"):$operators_port" revision)" = "$frozen_revision" ]

# Its vote counts: with it and one other, the group goes on.
killed=$(first_controller_but "$lost")
signal_process "$killed" KILL
check "the group goes on with the rejoined voter and one other" until_true 10 apply_next 71
missed=0
for number in $(seq 120); do apply_next "$number" && missed=$((missed + 1)); done
check "120 changes while one is down" [ "$missed" = 120 ]
start "$killed"
same_view() { [ "$(view_of "$killed")" = "$(view_of "$lost")" ]; }
check "a controller that missed them, snapshot and all, catches up" until_true 20 same_view

# All at once, and back from disk.
before=$(revision)
for name in "${process_names[@]}"; do signal_process "$name" KILL; done
for name in "${process_names[@]}"; do start "$name"; done
until_true 15 leader_name
check "nothing accepted is lost when all are killed at once" [ "$(revision)" = "$before" ]

# A fresh entry, without disk, never shows an older view.
entry_view=$(view_of e4)
signal_process e4 KILL
start e4
at_least() { [ "$(view_of e4)" -ge "$entry_view" ]; }
check "a restarted entry is back at its view or a later one" until_true 10 at_least

# An operator takes a replica out, and its process comes back with an empty folder.
until_true 10 leader_name
out=$(first_controller_but "$(leader_name)")
node_of() { ctl --json get controllers | jq -r --arg name "$1" '[.document[] | select(.node | startswith($name + "."))][0].node'; }
count_voters() { ctl --json get controllers | jq '[.document[] | select(.kind == "voter")] | length'; }
has_voters() { [ "$(count_voters)" = "$1" ]; }
check "controllers remove takes a replica out" ctl controllers remove "$(node_of "$out")"
check "and two voters are left" until_true 5 has_voters 2
check "an unknown replica is a numbered error" \
  [ "$(ctl --json controllers remove nobody.1 | jq .code)" = 2003 ]
signal_process "$out" KILL
rm -rf "${work:?}/$out/data"
start "$out"
check "its process votes again with another disk" until_true 30 has_voters 3

# A planned stop hands over.
leader=$(leader_name)
signal_process "$leader" TERM
check "a planned stop ends in order" grep -q '"event":"stopped"' "$work/$leader/log.jsonl"
check "and the others go on" until_true 5 apply_next 80
check "storage verify finds the stopped one's folder whole" \
  bash -c "'$bin/sumacctl' storage verify '$work/$leader/data' | grep -q whole"
segment=$(ls "$work/$leader"/data/*.seg | head -1)
printf 'x' | dd of="$segment" bs=1 seek=12 conv=notrunc 2>/dev/null
check "and names the file when a byte is damaged" \
  bash -c "'$bin/sumacctl' storage verify '$work/$leader/data' 2>&1 | grep -q 'log-.*offset'"
# It never serves what it can't read: it waits, and takes the place of its former self.
damaged=$(jq -r .node "$work/$leader/data/identity.json")
start "$leader"
logged() { grep -q "\"event\":\"$1\"" "$work/$leader/log.jsonl"; }
check "a controller with a damaged disk says so" until_true 10 logged data-unreadable
votes_as_another() {
  ctl --json get controllers |
    jq -e --arg name "$leader" --arg damaged "$damaged" '[.document[] | select(.kind == "voter") | .node] |
      length == 3 and any(startswith($name + ".")) and all(. != $damaged)' >/dev/null
}
check "and votes as another replica" until_true 30 votes_as_another
check "which has set the damaged data aside" test -f "$work/$leader/data/identity.json.unreadable"
finish
