#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Customers with keys and quotas through real processes: what a key opens, keys that are taken away, over a
# kill -9 of the leader too, a quota that holds, and no key in any output.
# usage: customers.sh BUILD_FOLDER
set -euo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/harness.sh"

controllers=(c1 c2 c3 c4 c5)
entries=(n1 n2)
source "$(dirname "${BASH_SOURCE[0]}")/nodes.sh"

ann_key=ann-$(new_job)
ann_other_key=ann-$(new_job)
bob_key=bob-$(new_job)
stray_key=stray-$(new_job)

# customers_manifest VERSION ANNS_KEYS ANNS_MILLICORES
customers_manifest() {
  manifest "$1"
  jq --argjson keys "$2" --argjson cpu "$3" --arg bob "$bob_key" '
    .routes += [.routes[0] + {name: "open", path_prefix: "/open/", public: true}]
    | .tenants = [{name: "ann", api_keys: $keys, weight: 5, max_count: {cpu: $cpu, mem_mb: 0, gpu: 0}},
                  {name: "bob", api_keys: [$bob], weight: 1}]' "$work/manifest-$1" >"$work/manifest-new"
  mv "$work/manifest-new" "$work/manifest-$1"
}
# with_key KEY FUNCTION ARGUMENT...: calls FUNCTION with the key on its HTTP calls.
with_key() {
  local caller_key=$1
  shift
  "$@"
}
show() { call "$(job_url "$1" "$2")"; }
cancel() { call -X DELETE "$(job_url "$1" "$2")"; }

for name in "${controllers[@]}" "${entries[@]}"; do
  write_node "$name" "$(role_of "$name")" true
  start_node "$name"
done
customers_manifest 1 "[\"$ann_key\",\"$ann_other_key\"]" 1000
check "the group takes a declaration with customers" until_true 15 declared 1
check "entries are ready" until_true 5 ready n1
start_other workers "$bin/task_workers_stand_in" --count 6 --ip 127.0.1.21 --controls "$controls" --work-ms 400

first=$(new_job)
check "a job is accepted with a key" until_true 10 with_key "$ann_key" submitted n1 "$first" 4
expect "without a key it is not" "$(submit n1 "$(new_job)" 1)" 401
expect "nor with an unknown one" "$(with_key "$stray_key" submit n1 "$(new_job)" 1)" 401
expect "the customer's other key shows the job" "$(with_key "$ann_other_key" show n2 "$first")" 200
expect "no key shows nothing" "$(show n2 "$first")" 401
expect "another customer's key opens it neither for reading" "$(with_key "$bob_key" show n2 "$first")" 403
expect "nor for cancelling" "$(with_key "$bob_key" cancel n1 "$first")" 403
expect "nor for a resend" "$(with_key "$bob_key" submit n1 "$first" 4)" 403
expect "a public queue needs no key" "$(call -X POST "http://$(node_ip n1):8624/open/$(new_job)" -d '{"spec":"x","steps":[{"count":1,"cpu":10}]}')" 200
expect "and opens no job of another queue" "$(call "http://$(node_ip n1):8624/open/$first")" 403
expect "two keys at once are none" "$(call -H "Authorization: Bearer $ann_key" -H "Authorization: Bearer $bob_key" "$(job_url n1 "$first")")" 401

jq ".version = 9 | .tenants[1].api_keys = [\"$ann_key\"]" "$work/manifest-1" >"$work/manifest-9"
expect "a shared key is invalid" "$(curl -s -o "$work/body" -w '%{http_code}' -X PUT http://127.0.1.2:8623/config -d @"$work/manifest-9")" 400
check "and not quoted" [ -z "$(grep -F "$ann_key" "$work/body")" ]
jq '.version = 9 | del(.tenants[1].weight)' "$work/manifest-1" >"$work/manifest-9"
expect "a missing weight is invalid" "$(curl -s -o /dev/null -w '%{http_code}' -X PUT http://127.0.1.2:8623/config -d @"$work/manifest-9")" 400
check "the document is read back as it was sent" [ "$(curl -s http://127.0.1.3:8623/config | jq -S .)" = "$(jq -S . "$work/manifest-1")" ]

# A task needs half a core, and ann may use one: two tasks at once, some two seconds for eight.
large=$(new_job)
check "a job of eight tasks is accepted" until_true 5 with_key "$ann_key" submitted n1 "$large" 8
check "its customer is held by the quota" until_true 5 ctl_finds '.document[0].is_held_by_quota' n1 customers ann
check "and uses no more than that" ctl_finds '.document[0].used.millicores <= 1000' n1 customers ann
expect "a task that never fits is refused" "$(with_key "$ann_key" call -X POST "$(job_url n1 "$(new_job)")" -d '{"spec":"x","steps":[{"count":1,"cpu":1001}]}')" 422

customers_manifest 2 "[\"$ann_other_key\"]" 0
check "a key is taken away" until_true 5 declared 2
victim=$(leader)
signal_process "$victim" KILL
echo "        killed $victim"
check "the next leader knows the other key" until_true 10 with_key "$ann_other_key" submitted n1 "$(new_job)" 1
expect "and not the one that was taken away" "$(with_key "$ann_key" submit n2 "$(new_job)" 1)" 401
expect "also for a resend" "$(with_key "$ann_key" submit n2 "$first" 4)" 401
check "the job of the customer is done" until_true 15 with_key "$ann_other_key" state_is n2 "$large" done
expect "it still belongs to its customer" "$(with_key "$bob_key" show n1 "$large")" 403

for key in "$ann_key" "$ann_other_key" "$bob_key" "$stray_key"; do
  check "no output holds the key ${key%%-*}" [ -z "$(grep -lF "$key" "$work"/*/out.txt "$work/ctl.json")" ]
done
finish
