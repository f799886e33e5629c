#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# The leading controller is gone for good and replaced by an empty one at another address, three times, each time
# after its successor has had the time that the pages give it.
set -euo pipefail
case_folder=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
source "$case_folder/../common/cluster.sh"

replacements=3
successor_s=2
interval_ms=7400
recovery_s=12
start_deployment
for name in c6 c7 c8; do write_settings "$name" false; done
until_true 5 put_manifest c2 2 || cannot_run "version 2 was not acknowledged"
note "version 2 is acknowledged"

# The three controllers of the operators' list, as new settings name them: those that run, in order.
list_seeds() {
  local name list=""
  for name in c1 c2 c3 c4 c5 c6 c7 c8; do
    [ -z "${pids[$name]:-}" ] || list+="${list:+ }\"$(ip_of "$name"):8623\""
  done
  echo "[$(echo "$list" | cut -d' ' -f1-3 | tr ' ' ',')]"
}
sleep 4
if [ "$trouble" != 0 ]; then
  next=6
  for replacement in $(seq "$replacements"); do
    replaced_at=$(now_ms)
    gone=$(leader) || { note "nobody leads before replacement $replacement"; break; }
    kill_node "$gone"
    note "replacement $replacement: $gone, which leads, is gone for good"
    sleep "$successor_s"
    seeds=$(list_seeds)
    write_settings "c$next" false
    start_node "c$next"
    note "replacement $replacement: c$next, with an empty disk and another address, has started"
    # Running processes get the new seeds in their settings files.
    for name in "${!pids[@]}"; do [ "$name" = "c$next" ] || write_settings "$name" false; done
    next=$((next + 1))
    [ "$replacement" = "$replacements" ] && break
    left=$((replaced_at + interval_ms - $(now_ms)))
    sleep "$(printf '%d.%03d' $((left / 1000)) $((left % 1000)))"
  done
fi

# Read the manifest back, from any controller, well after the time for a recovery.
sleep "$recovery_s"
sleep 4
read_back() {
  local name
  for name in c1 c2 c3 c4 c5 c6 c7 c8; do
    [ -n "${pids[$name]:-}" ] || continue
    [ "$(call 1 "http://$(ip_of "$name"):8623/config")" = 200 ] && grep -q '"version": 2' "$work/body" && return 0
  done
  return 1
}
if until_true 10 read_back; then
  note "version 2 is read back; the rule held"
  exit 0
fi
for name in c1 c2 c3 c4 c5 c6 c7 c8; do
  [ -z "${pids[$name]:-}" ] || note "GET /config at $name: $(call 1 "http://$(ip_of "$name"):8623/config")"
done
note "CONFIG and LOST are broken: version 2 was acknowledged and comes from none of five running controllers"
exit 1
