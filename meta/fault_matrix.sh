#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Writes docs/FAULT_MATRIX.md from the reports that meta/platform_days.sh left in folders.
# usage: fault_matrix.sh REVISION LABEL=FOLDER...
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."

revision=$1
shift

# cell FOLDER NAME: rules broken and worth of one day.
cell() {
  local report="$1/$2.json"
  if [ ! -s "$report" ]; then
    echo "not played"
    return
  fi
  jq -r '(if (.breaks | length) == 0 then "" else (.breaks | to_entries | map("**\(.key) \(.value)**") | join(", ")) + ", " end)
    + (if .fault then "**fault**, " else "" end) + (.G * 1000 | round / 1000 | tostring)' "$report"
}

{
  echo "# Each trouble alone"
  echo
  echo "Written by meta/fault_matrix.sh from the reports of days of our own (tests/platform_days/troubles.txt): the trouble comes at 6 s"
  echo "and at 18 s, one seed, no processor time. A cell is the day's worth, after any rule that it broke. Code: $revision."
  echo
  printf '| trouble |'
  for pair in "$@"; do printf ' %s |' "${pair%%=*}"; done
  echo
  printf '| --- |'
  for _ in "$@"; do printf ' --- |'; done
  echo
  while read -r name _; do
    case "$name" in '' | '#'*) continue ;; esac
    printf '| %s |' "$name"
    for pair in "$@"; do printf ' %s |' "$(cell "${pair#*=}" "$name")"; done
    echo
  done <tests/platform_days/troubles.txt
} >docs/FAULT_MATRIX.md
