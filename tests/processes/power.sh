#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# A group whose leader had been replaced never led again once power was lost everywhere and two disks with it.
# Then losses of power in a row, each with one or two disks, with real processes.
# usage: power.sh BUILD_FOLDER [SEED]
# The environment may set routes (more of them in the manifest), pending (jobs that wait), rounds, dead_seeds (1: two
# of the successor's three seeds are gone), slow (NAME=MILLISECONDS a sync, "successor" and "voter" are names too)
# and logs (a folder that gets the processes' output).
set -euo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/harness.sh"

RANDOM=${2:-3}
seed=${2:-3}
controllers=(c1 c2 c3 c4 c5)
entries=(n1 n2)
node_network=${network:-127.0.11}
source "$(dirname "${BASH_SOURCE[0]}")/nodes.sh"
rounds=${rounds:-3}

# The pace at which the platform may take controllers and disks away.
successor_s=1.6
catch_up_s=4
pause_s=0.4

now() { date +%T.%3N; }
note() { echo "        $(now) $*"; }

write_any() {
  write_node "$1" "$(role_of "$1")" "$2"
  [ "$(role_of "$1")" = entry ] ||
    change_settings "$1" '.group = {heartbeat_ms: 100, election_timeout_ms: 450, snapshot_every: 1000}'
}
# A controller's folder is watched, so that a loss of its power can be played.
start_any() {
  local preload=()
  [ "$(role_of "$1")" = entry ] ||
    preload=("LD_PRELOAD=$bin/libpower_loss.so" "SUMAC_POWER_DATA=$work/$1/data" "SUMAC_POWER_COPY=$work/$1/power")
  start_other "$1" env "${preload[@]}" "$bin/sumacd" --settings "$work/$1/settings.json"
}
running() {
  local name
  for name in "${controllers[@]}"; do [ -z "${pids[$name]:-}" ] || echo "$name"; done
}
seeds_of() { for name in "$@"; do echo "$(node_ip "$name"):1"; done | jq -R . | jq -cs .; }
slow_down() {
  mkdir -p "$work/$1/power"
  echo "$2" >"$work/$1/power/sync-ms"
  note "$1 syncs $2 ms slower"
}

# lose_power NAME: replaces a killed controller's data by what was synced. In every other loss some of what wasn't
# synced is left too: each name as it was or as it is, each file cut anywhere behind its durable length.
lose_power() {
  local data=$work/$1/data power=$work/$1/power name copy length whole
  rm -rf "$work/$1/left"
  mkdir "$work/$1/left"
  for name in $(find "$data" "$power/names" -type f -printf '%f\n' 2>/dev/null | sort -u); do
    copy=$power/names/$name
    if [ "$keeps_some" = 1 ] && [ $((RANDOM % 2)) = 1 ]; then
      [ -e "$data/$name" ] || continue
      copy=$power/files/$(stat -c '%i-%.9W' "$data/$name")
      length=$(stat -c %s "$copy" 2>/dev/null || echo 0)
      whole=$(stat -c %s "$data/$name")
      [ "$length" -ge "$whole" ] || length=$((length + RANDOM * (whole - length + 1) / 32768))
      head -c "$length" "$data/$name" >"$work/$1/left/$name"
    elif [ -e "$copy" ]; then
      cp "$copy" "$work/$1/left/$name"
    fi
  done
  mv "$power/sync-ms" "$work/$1/sync-ms" 2>/dev/null || true
  rm -rf "$data" "$power"
  mv "$work/$1/left" "$data"
  if [ -e "$work/$1/sync-ms" ]; then mkdir "$power" && mv "$work/$1/sync-ms" "$power"; fi
}
# lose_power_everywhere WIPED...: all controllers and entries at once; the wiped are back first, with empty disks.
lose_power_everywhere() {
  local name back=() names
  mapfile -t names < <(running)
  keeps_some=$((losses % 2))
  losses=$((losses + 1))
  for name in "${names[@]}" "${entries[@]}"; do back+=("${pids[$name]}"); done
  note "power is lost everywhere, the disks of $* too"
  { kill -KILL "${back[@]}" && wait "${back[@]}" || true; } 2>/dev/null
  for name in "${names[@]}" "${entries[@]}"; do
    unset "pids[$name]"
    # Nobody led after this; the next processes say so only once they have started.
    printf '\n{"event":"leads-no-more"}\n' >>"$work/$name/out.txt"
  done
  for name in "${names[@]}"; do
    if [[ " $* " == *" $name "* ]]; then rm -rf "$work/$name/data" "$work/$name/power"; else lose_power "$name"; fi
  done
  sleep "0.$((RANDOM % 9))"
  for name in "$@"; do start_any "$name"; done
  sleep 0.2
  for name in "${names[@]}"; do [ -n "${pids[$name]:-}" ] || start_any "$name"; done
  for name in "${entries[@]}"; do start_any "$name"; done
  note "all are back"
}
losses=$((seed % 2))

voters() { ctl "$(leader)" controllers && jq -r '.document[] | select(.kind == "voter") | .node' "$work/ctl.json"; }
just_running() {
  local node name found=0
  for node in $(voters); do
    for name in $(running); do [ "${node%%:*}" != "$(node_ip "$name")" ] || found=$((found + 1)); done
  done
  [ "$found" = 5 ] && [ "$(voters | wc -l)" = 5 ]
}
reads_back() {
  local name
  for name in $(running); do
    [ "$(version_at "${name#c}")" = "$version" ] || return 1
  done
}
manifest_of() {
  manifest "$1"
  jq --argjson count "${routes:-0}" '.routes += [range($count) as $i | .routes[0]
    | .name = "extra-\($i)" | .path_prefix = "/extra-\($i)/"]' "$work/manifest-$1" >"$work/manifest.next"
  mv "$work/manifest.next" "$work/manifest-$1"
}
declare_next() {
  manifest_of $((version + 1))
  until_true "$1" declared $((version + 1)) "$2" && version=$((version + 1))
}
# A job is accepted at both entries, and its id kept.
jobs=()
accept_job() {
  local id
  id=$(new_job)
  until_true "$1" submitted "$2" "$id" "${3:-4}" && jobs+=("$id")
}
jobs_known() {
  local id
  for id in "${jobs[@]}"; do
    [ "$(call "$(job_url n1 "$id")")" = 200 ] || return 1
  done
}
serves() {
  local id
  id=$(new_job)
  until_true 10 submitted "$1" "$id" 1 && until_true 15 state_is "$1" "$id" done
}
check_all() {
  check "somebody leads $1" until_true 20 leader
  note "$(leader || echo nobody) leads"
  # Without a leader all else fails too, and takes minutes.
  leader >/dev/null || exit 1
  check "the last acknowledged declaration is read back at every controller" until_true 10 reads_back
  check "each accepted job is known" until_true 10 jobs_known
  check "a new job is served through one entry" serves n1
  check "and through the other" serves n2
}
keep_logs() {
  [ -n "${logs:-}" ] || return 0
  local name
  mkdir -p "$logs"
  for name in "${controllers[@]}" "${entries[@]}"; do cp "$work/$name/out.txt" "$logs/$name.jsonl"; done
}
trap 'keep_logs; stop_all; rm -rf "$work"' EXIT

for name in "${controllers[@]}" "${entries[@]}"; do write_any "$name" true; done
for name in "${controllers[@]}" "${entries[@]}"; do start_any "$name"; done
start_other workers "$bin/task_workers_stand_in" --count 6 --ip "$node_network.21" --work-ms 200 \
  --controls "$(for name in c1 c2 c3 c4 c5 c6; do echo "$(node_ip "$name"):8623"; done | paste -sd,)"
version=0
check "the group forms and takes a declaration" declare_next 20 1
check "five controllers vote" until_true 20 just_running
check "jobs are accepted" accept_job 10 n1
for _ in $(seq "${pending:-2}"); do accept_job 10 n2; done
for item in ${slow:-}; do
  case "$item" in
    voter=*) slow_down "$(running | grep -v "^$(leader)\$" | tail -1)" "${item#*=}" ;;
    successor=*) ;;
    *) slow_down "${item%%=*}" "${item#*=}" ;;
  esac
done

lost=$(leader)
signal_process "$lost" KILL
note "$lost, which leads, is gone for good"
sleep "$successor_s"
mapfile -t seed_names < <(running | head -3)
[ "${dead_seeds:-0}" = 0 ] || seed_names=("$lost" c9 "${seed_names[2]}")
seeds=$(seeds_of "${seed_names[@]}")
controllers+=(c6)
write_any c6 false
[[ " ${slow:-} " != *" successor="* ]] || slow_down c6 "$(echo "${slow}" | tr ' ' '\n' | sed -n 's/^successor=//p')"
start_any c6
note "its successor c6 starts with an empty disk, seeds ${seed_names[*]}"
seeds=$(seeds_of $(running | head -3))
for name in $(running) "${entries[@]}"; do [ "$name" = c6 ] || write_any "$name" false; done
sleep "$catch_up_s"
sleep "$pause_s"
next_leader=$(leader)
survivors=$(running | grep -v -e "^$next_leader\$" -e '^c6$')
case $((seed % 3)) in
  0) wiped=("$next_leader" "$(head -1 <<<"$survivors")") ;;
  1) wiped=("$next_leader" c6) ;;
  2) wiped=("$(sed -n 2p <<<"$survivors")" "$(sed -n 3p <<<"$survivors")") ;;
esac
check "another declaration is acknowledged" declare_next 5 "${next_leader#c}"
lose_power_everywhere "${wiped[@]}"
check_all "after the leader's replacement and a loss of power"

for round in $(seq "$rounds"); do
  sleep "$catch_up_s"
  accept_job 5 n1 || true
  mapfile -t order < <(running | shuf --random-source=<(yes "$seed$round"))
  wiped=("${order[@]:0:$((1 + (seed + round) % 2))}")
  next_leader=$(leader) || true
  [ $((RANDOM % 2)) = 0 ] || [[ " ${wiped[*]} " == *" $next_leader "* ]] || wiped[0]=$next_leader
  check "another declaration is acknowledged" declare_next 5 "${next_leader#c}"
  lose_power_everywhere "${wiped[@]}"
  check_all "after loss $((round + 1)) of power"
done
finish
