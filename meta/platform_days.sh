#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Plays each trouble of tests/platform_days/troubles.txt as a day of its own, in which it comes twice, and
# prints a table of what broke. Needs the users' bench beside the checkout.
# usage: platform_days.sh BENCH SITE FOLDER [NAME_PATTERN [SEED]]
#   FOLDER gets the days, the reports and table.md; what is there already is not played again.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."

bench=$1
site=$2
folder=$3
pattern=${4:-.}
seed=${5:-1}
# When the trouble comes, in seconds of traffic: in the low hours and in the rush.
readonly first_at=6.0 second_at=18.0
readonly at_once=${SUMAC_DAYS_AT_ONCE:-6}
mkdir -p "$folder"

write_day() {
  local name=$1 list=$2 entry=$3 other=plan
  [ "$list" = faults ] || other=faults
  cat >"$folder/$name.toml" <<EOF
[[day]]
name = "own-$name"
slot = "trouble"
seed = $seed
one = 1.0
zero = 0.0
goal = { floor = 0.0 }
labels = []
$other = []
$list = [
  { at = $first_at, $entry },
  { at = $second_at, $entry },
]
EOF
}

play() {
  local name=$1
  "$bench" run "$site" "$folder/$name.toml" --no-cpu --report "$folder/$name.json" --jobs 1 \
    --why "Own day: $name twice, alone" >"$folder/$name.txt" 2>&1 || true
}

row() {
  local name=$1
  if [ ! -s "$folder/$name.json" ]; then
    echo "| $name | not played | $(tail -1 "$folder/$name.txt" | cut -c1-100) |"
    return
  fi
  jq -r --arg name "$name" '
    def text: if length == 0 then "none" else (to_entries | map("\(.key) \(.value)") | join(", ")) end;
    "| \($name) | \(.breaks | text)\(if .fault then "; fault: \(.fault)" else "" end) | \(.G) | \(.served) |"' \
    "$folder/$name.json"
}

names=()
while read -r name list entry; do
  case "$name" in '' | '#'*) continue ;; esac
  [[ "$name" =~ $pattern ]] || continue
  names+=("$name")
  [ -s "$folder/$name.json" ] && continue
  write_day "$name" "$list" "$entry"
  while [ "$(jobs -rp | wc -l)" -ge "$at_once" ]; do
    wait -n || true
  done
  play "$name" &
done <tests/platform_days/troubles.txt
wait

{
  echo "| trouble | rules broken | worth | served |"
  echo "| --- | --- | --- | --- |"
  for name in "${names[@]}"; do
    row "$name"
  done
} | tee "$folder/table.md"
