#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Measurements as JSON lines on standard output, one figure set a line.
# usage: meta/bench.sh BUILD_FOLDER [NAME...]   names: idle (default: all)
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."

bin=$(cd "$1" && pwd)/bin
shift
work=$(mktemp -d)
source meta/cluster.sh
trap 'stop_all; rm -rf "$work"' EXIT

clock_ticks=$(getconf CLK_TCK)

cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
bytes_moved() { awk '/^rchar|^wchar/ {sum += $2} END {print sum}' "/proc/$1/io"; }
resident_kb() { awk '/^VmRSS/ {print $2}' "/proc/$1/status"; }

# Prints memory, processor share and bytes a second of each sumacd over some seconds.
report_processes() {
  local label=$1 seconds=$2 name
  declare -A ticks=() bytes=()
  for name in "${process_names[@]}"; do
    ticks[$name]=$(cpu_ticks "${pids[$name]}")
    bytes[$name]=$(bytes_moved "${pids[$name]}")
  done
  sleep "$seconds"
  for name in "${process_names[@]}"; do
    jq -nc --arg bench "$label" --arg process "$name" --arg roles "${roles[$name]}" \
      --argjson rss "$(resident_kb "${pids[$name]}")" \
      --argjson ticks $(($(cpu_ticks "${pids[$name]}") - ${ticks[$name]})) \
      --argjson bytes $(($(bytes_moved "${pids[$name]}") - ${bytes[$name]})) \
      --argjson hertz "$clock_ticks" --argjson seconds "$seconds" '{
        bench: $bench, process: $process, controller: ($roles | contains("controller")),
        resident_mb: ($rss / 1024 * 10 | round / 10),
        cpu_percent: ($ticks / $hertz / $seconds * 10000 | round / 100),
        bytes_per_second: ($bytes / $seconds | round)}'
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

names=("$@")
[ ${#names[@]} -gt 0 ] || names=(idle)
for name in "${names[@]}"; do
  "bench_$name"
done
