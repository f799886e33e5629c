#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Measurements as JSON lines on standard output, one figure set a line.
# usage: meta/bench.sh BUILD_FOLDER [NAME...]   names: idle commit leader changes restart entry decisions (default: all)
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."

bin=$(cd "$1" && pwd)/bin
shift
work=$(mktemp -d)
source meta/cluster.sh
trap 'stop_all; rm -rf "$work"' EXIT

clock_ticks=$(getconf CLK_TCK)

cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
bytes_read() { awk '/^rchar/ {print $2}' "/proc/$1/io"; }
bytes_written() { awk '/^wchar/ {print $2}' "/proc/$1/io"; }
resident_kb() { awk '/^VmRSS/ {print $2}' "/proc/$1/status"; }

# Prints memory, processor share and bytes a second of each sumacd over some seconds.
report_processes() {
  local label=$1 seconds=$2 name
  declare -A ticks=() read=() written=()
  for name in "${process_names[@]}"; do
    ticks[$name]=$(cpu_ticks "${pids[$name]}")
    read[$name]=$(bytes_read "${pids[$name]}")
    written[$name]=$(bytes_written "${pids[$name]}")
  done
  sleep "$seconds"
  for name in "${process_names[@]}"; do
    jq -nc --arg bench "$label" --arg process "$name" --arg roles "${roles[$name]}" \
      --argjson rss "$(resident_kb "${pids[$name]}")" \
      --argjson ticks $(($(cpu_ticks "${pids[$name]}") - ${ticks[$name]})) \
      --argjson read $(($(bytes_read "${pids[$name]}") - ${read[$name]})) \
      --argjson written $(($(bytes_written "${pids[$name]}") - ${written[$name]})) \
      --argjson hertz "$clock_ticks" --argjson seconds "$seconds" '{
        bench: $bench, process: $process, controller: ($roles | contains("controller")),
        resident_mb: ($rss / 1024 * 10 | round / 10),
        cpu_percent: ($ticks / $hertz / $seconds * 10000 | round / 100),
        read_bytes_per_second: ($read / $seconds | round),
        written_bytes_per_second: ($written / $seconds | round)}'
  done
}

bench_idle() {
  process_names=(e1 e2 e3 e4 e5)
  roles=([e1]='"entry","controller"' [e2]='"entry","controller"' [e3]='"entry","controller"' [e4]='"entry"' [e5]='"entry"')
  write_all_settings
  local name
  for name in e1 e2 e3; do format "$name"; done
  for name in "${process_names[@]}"; do start "$name"; done
  until_true 10 leader_name
  ctl --revision 0 apply settings/demo-declaration.json >/dev/null
  sleep 2
  report_processes idle 20
  stop_all
  rm -rf "${work:?}"/*
}

# start_group VOTERS ENTRIES: that many controllers-and-entries and further entries.
start_group() {
  local name number
  process_names=()
  roles=()
  for number in $(seq $(($1 + $2))); do
    name=e$number
    process_names+=("$name")
    if [ "$number" -le "$1" ]; then
      roles[$name]='"entry","controller"'
    else
      roles[$name]='"entry"'
    fi
  done
  write_all_settings
  for name in "${process_names[@]}"; do
    if is_controller "$name"; then format "$name"; fi
  done
  for name in "${process_names[@]}"; do start "$name"; done
  until_true 10 leader_name
}

stop_group() {
  stop_all
  rm -rf "${work:?}"/*
}

peer_addresses() {
  local name list=""
  for name in "${process_names[@]}"; do
    if is_controller "$name"; then list+="${list:+,}$(ip_of "$name"):$peer_port"; fi
  done
  echo "$list"
}

# What a commit costs: by distance on a fake clock, and with real processes beside the disk's cost.
bench_commit() {
  "$bin/control_bench" disk --folder "$work"
  "$bin/replication_bench" 1000
  local voters
  for voters in 3 5; do
    start_group "$voters" 0
    "$bin/control_bench" commit --peers "$(peer_addresses)" --count 5000
    stop_group
  done
}

# The longest time without a commit after the leader is killed, and after it hands over.
bench_leader() {
  local cause round leader
  for cause in kill_9 hand_over; do
    for round in 1 2 3 4 5; do
      start_group 3 0
      "$bin/control_bench" gap --peers "$(peer_addresses)" --seconds 5 --label "$cause" &
      local gap=$!
      sleep 2
      leader=$(leader_name)
      if [ "$cause" = kill_9 ]; then
        signal_process "$leader" KILL
      else
        ctl hand-over >/dev/null
      fi
      wait "$gap"
      stop_group
    done
  done
}

# Accepted until the last follower has it, and what a follower that missed changes gets.
bench_changes() {
  local followers
  start_group 3 6
  for followers in 9 100; do
    "$bin/control_bench" followers --peers "$(peer_addresses)" --operators "$(ip_of e1):$operators_port" \
      --followers "$followers" --count 200
    start_over
  done
  "$bin/control_bench" catch-up --peers "$(peer_addresses)" --operators "$(ip_of e1):$operators_port" --count 500
  start_over
  "$bin/control_bench" catch-up --peers "$(peer_addresses)" --operators "$(ip_of e1):$operators_port" --count 8800
  stop_group
}

start_over() {
  stop_group
  start_group 3 6
}

# From the start of a process until it answers, against the length of its log.
bench_restart() {
  local entries begin
  for entries in 1000 10000 40000; do
    extra_settings='{"group":{"snapshot_every":1000000}}'
    start_group 3 0
    "$bin/control_bench" fill --peers "$(peer_addresses)" --count "$entries"
    signal_process e3 KILL
    begin=$(date +%s%N)
    start e3
    until operators="$(ip_of e3):$operators_port" ctl --timeout-ms 2000 status >/dev/null 2>&1; do :; done
    jq -nc --argjson entries "$entries" --argjson ns $(($(date +%s%N) - begin)) \
      --argjson bytes "$(cat "$work"/e3/data/*.seg | wc -c)" \
      '{bench: "restart", log_entries: $entries, log_bytes: $bytes, ms: ($ns / 1e6 | round)}'
    unset extra_settings
    stop_group
  done
}

# The entry's path: what it adds to a direct call, goodput up to three times what the minions can do,
# and an entry killed in the middle. One service, 4 minions of 8 slots, 20 ms a request: 1,600/s.
bench_entry() {
  local doors="" direct="" name port factor
  start_group 3 2
  ctl --revision 0 apply settings/demo-declaration.json >/dev/null
  start_other previews "$bin/targets_stand_in" --kind minion --prefix preview --count 4 --ip 127.0.0.30 \
    --first-port 7001 --entries "$(target_addresses)" --pool previews --service previews --work-ms 20
  until_true 10 has_available previews 4
  sleep 1
  for name in "${process_names[@]}"; do doors+="${doors:+,}$(ip_of "$name"):$callers_port"; done
  for port in 7001 7002 7003 7004; do direct+="${direct:+,}127.0.0.30:$port"; done
  caller() { "$bin/caller_stand_in" --seconds 4 --target /v1/services/previews/x "$@"; }
  caller --entries "$direct" --direct --rate 200 --label direct | label_line entry_latency
  caller --entries "$doors" --rate 200 --label through_entry | label_line entry_latency
  for factor in 0.5 0.9 1 1.5 3; do
    caller --entries "$doors" --threads 1500 --deadline-ms 1000 --label "${factor}x" \
      --rate "$(awk "BEGIN {print 1600 * $factor}")" | label_line entry_overload
  done
  caller --entries "$doors" --threads 256 --rate 400 --deadline-ms 1000 --label entry_killed >"$work/killed" &
  local running=$!
  sleep 2
  signal_process e5 KILL
  wait "$running"
  label_line entry_killed <"$work/killed"
  for name in e1 e4; do
    jq -nc --arg process "$name" --argjson rss "$(resident_kb "${pids[$name]}")" \
      '{bench: "entry_memory_after_load", process: $process, resident_mb: ($rss / 1024 | round)}'
  done
  stop_group
}

# What one decision costs at 50, 500 and 6,400 targets, and a pass of the scheduler at 50 to 6,400 workers.
bench_decisions() {
  "$bin/decision_bench" charts
  "$bin/capacity_bench"
}

label_line() { jq -c --arg bench "$1" '{bench: $bench} + .'; }

names=("$@")
[ ${#names[@]} -gt 0 ] || names=(idle commit leader changes restart entry decisions)
for name in "${names[@]}"; do
  "bench_$name"
done
