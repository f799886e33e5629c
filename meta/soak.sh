#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Soaks with many seeds, some at a time; prints a line for each and keeps the logs of those that fail.
# usage: meta/soak.sh SEEDS [SECONDS]
# SEEDS is a number, for so many fresh seeds; a list with commas ("7," for one); or "kept", for those of
# tests/processes/soak_seeds.txt. SUMAC_SOAK_LANES run at once (2), SUMAC_BUILD is the build folder, and
# logs are kept in SUMAC_SOAK_KEEP (build/soak).
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."

build_folder=${SUMAC_BUILD:-build}
export SUMAC_SOAK_KEEP=${SUMAC_SOAK_KEEP:-$build_folder/soak}
lanes=${SUMAC_SOAK_LANES:-2}
# The first of the loopback networks that lanes use; ctest's soak has 40. Two scripts at once need their own.
first_network=${SUMAC_SOAK_NETWORK:-41}

[ $# -ge 1 ] || {
  sed -n '3,7s/^# //p' "${BASH_SOURCE[0]}" >&2
  exit 2
}
case "$1" in
  kept) mapfile -t seeds < <(awk '/^[0-9]/ { print $1 }' tests/processes/soak_seeds.txt) ;;
  *,*) IFS=, read -ra seeds <<<"$1" ;;
  *) mapfile -t seeds < <(od -An -N$((4 * $1)) -tu4 -w4 /dev/urandom | awk '{ print $1 % 1000000 }') ;;
esac
seconds=${2:-120}
mkdir -p "$SUMAC_SOAK_KEEP"

# run_lane LANE: every seed whose place falls to this lane.
run_lane() {
  local place log
  for ((place = $1; place < ${#seeds[@]}; place += lanes)); do
    log=$SUMAC_SOAK_KEEP/seed-${seeds[place]}.txt
    if tests/processes/soak.sh "$build_folder" "${seeds[place]}" "$seconds" $((first_network + $1)) >"$log" 2>&1; then
      echo "passed  ${seeds[place]}  $(grep "^[0-9].* broken$" "$log" || true), $(grep -c '^KNOWN-RED' "$log" || true) of them known"
    else
      echo "FAILED  ${seeds[place]}  $(grep -E '^(FAILED|BROKEN)' "$log" | head -3 | tr '\n' ';')"
    fi
  done
}

outcomes=$SUMAC_SOAK_KEEP/outcomes-$(date +%s)-$$.txt
running=()
for lane in $(seq 0 $((lanes - 1))); do
  run_lane "$lane" &
  running+=("$!")
done > >(tee "$outcomes")
wait "${running[@]}"
sleep 0.2
echo "$(grep -c ^passed "$outcomes" || true) of ${#seeds[@]} seeds passed, $seconds s each; $outcomes"
! grep -q ^FAILED "$outcomes"
