#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# One body of nested lists ended each process that got it. At every door of the platform such a body is refused
# with a 4xx, and no process ends.
# usage: nested_values.sh BUILD_FOLDER
set -euo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/harness.sh"

controllers=(c1 c2 c3 c4 c5)
entries=(n1)
source "$(dirname "${BASH_SOURCE[0]}")/nodes.sh"

for name in "${controllers[@]}" "${entries[@]}"; do
  write_node "$name" "$(role_of "$name")" true
  start_node "$name"
done
manifest 1
check "the group forms and takes a declaration" until_true 10 declared 1
check "the entry is ready" until_true 5 ready n1

depth=60000
nested=$(head -c "$depth" /dev/zero | tr '\0' '[')$(head -c "$depth" /dev/zero | tr '\0' ']')
deeper=$(head -c 120000 /dev/zero | tr '\0' '[')$(head -c 120000 /dev/zero | tr '\0' ']')
# body FIELD VALUE: an object with one field.
body() { echo "{\"$1\":$2}"; }
# refused STATUSES ARGUMENT...: a call with the body in $work/sent is answered with one of these.
refused() { [[ " $1 " == *" $(call -H 'Expect:' --data-binary "@$work/sent" "${@:2}") "* ]]; }
control="http://$(node_ip c2):8623"
for value in "$nested" "$deeper"; do
  body routes "$value" >"$work/sent"
  check "a manifest of ${#value} brackets" refused "400 422" -X PUT "$control/config"
  body service "$value" >"$work/sent"
  check "a check-in" refused "400 422" -X PUT "$control/instances/m-1"
  body wave "$value" >"$work/sent"
  check "a wave" refused "400 422" -X POST "$control/wave-start"
  body spec "$value" >"$work/sent"
  check "a client's job" refused "400 413 422" -X POST -H 'Sumacstack-Deadline-Ms: 3000' "$(job_url n1 "$(new_job)")"
  check "an operator's job" bash -c "! $bin/sumacctl --json --address $(node_ip n1):7070 jobs submit $work/sent >/dev/null 2>&1"
done
for name in "${controllers[@]}" "${entries[@]}"; do
  check "$name still runs" kill -0 "${pids[$name]}"
done
check "the declaration is in force" [ "$(version_at 3)" = 1 ]
finish
