#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Measurements as JSON lines on standard output, one figure set a line.
# usage: meta/bench.sh BUILD_FOLDER [NAME...]   names: idle commit leader changes restart (default: all)
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

names=("$@")
[ ${#names[@]} -gt 0 ] || names=(idle commit leader changes restart)
for name in "${names[@]}"; do
  "bench_$name"
done
