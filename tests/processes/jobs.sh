#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Controllers and entries that find each other from seeds, with workers that run jobs of steps: a first
# group, jobs through any entry, kill -9 of the leader, a wiped disk, all killed at once, planned stops.
# usage: jobs.sh BUILD_FOLDER
set -euo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/harness.sh"

controllers=(c1 c2 c3 c4 c5)
entries=(n1 n2)
source "$(dirname "${BASH_SOURCE[0]}")/nodes.sh"

for name in "${controllers[@]}" "${entries[@]}"; do
  write_node "$name" "$(role_of "$name")" true
  check "$name's settings are good" "$bin/sumacd" --settings "$work/$name/settings.json" --check
  start_node "$name"
done
manifest 1
check "an entry without a declaration refuses jobs with 503" [ "$(submit n1 "$(new_job)" 1)" = 503 ]
check "the group forms and takes a declaration" until_true 10 declared 1
check "entries are ready" until_true 5 ready n1
start_other workers "$bin/task_workers_stand_in" --count 6 --ip 127.0.1.21 --controls "$controls" --work-ms 200

first=$(new_job)
check "a job is accepted" until_true 5 submitted n1 "$first" 4
expect "the same job again is accepted" "$(submit n2 "$first" 4)" 200
check "it is done, seen through the other entry" until_true 10 state_is n2 "$first" done
expect "a job that nobody submitted is gone" "$(call "$(job_url n1 0000000000000000)")" 410
expect "another host has no queue" "$(curl -s -o /dev/null -w '%{http_code}' -H 'Host: no.example' "$(job_url n1 1)")" 404
expect "a body that is no job" "$(call -X POST "$(job_url n1 "$(new_job)")" -d '{"spec":1}')" 400

jq '.routes[0].service = "nobody"' "$work/manifest-1" | jq '.version = 9' >"$work/manifest-9"
expect "an invalid declaration" "$(curl -s -o /dev/null -w '%{http_code}' -X PUT http://127.0.1.2:8623/config -d @"$work/manifest-9")" 400
manifest 2
check "a newer declaration through another controller" until_true 5 declared 2 3
check "an older one is taken again and changes nothing" declared 1 2
expect "version 2 is in force at every controller" "$(version_at 1)$(version_at 2)$(version_at 3)" 222

ours=$(new_job)
jq -n --arg id "$ours" '{id: $id, queue: "clips", spec: {text: "x", steps: [
  {count: 3, need: {millicores: 500, memory_mb: 10, accelerators: 0}, estimate_ms: 200},
  {count: 1, need: {millicores: 500, memory_mb: 10, accelerators: 0}, after: [0]}]}}' >"$work/job.json"
check "an operator submits a job of steps through an entry" ctl n2 jobs submit "$work/job.json"
check "and again, as after a lost answer" ctl c3 jobs submit "$work/job.json"
check "it is done, seen by the operator" until_true 10 ctl_finds '.document.state == "done"' c1 jobs show "$ours"
check "and by callers" state_is n1 "$ours" done
refuses() { ! ctl "$@" && jq -e '.code == 2012' "$work/ctl.json" >/dev/null; }
check "a file that is no job is refused" refuses n1 jobs submit "$work/manifest-1"
check "the operator sees the workers" ctl_finds '.document | length == 6 and all(.state == "ready")' n1 workers
check "the queues" ctl_finds '.document[0].name == "clips"' c2 queues
check "the waves" ctl_finds '.document == []' c2 waves
check "the controllers" ctl_finds '[.document[] | select(.kind == "voter")] | length == 5' n1 controllers
check "and one process" ctl_finds '.document.role == "entry"' n1 status
cancelled=$(new_job)
jq --arg id "$cancelled" '.id = $id | .spec.steps[0].count = 500' "$work/job.json" >"$work/job-2.json"
check "an operator submits a larger job" ctl n1 jobs submit "$work/job-2.json"
check "it is listed" ctl_finds "[.document[] | select(.id == \"$cancelled\")] | length == 1" n2 jobs list
check "and cancels it" ctl n2 jobs cancel "$cancelled"
check "callers see that" state_is n2 "$cancelled" cancelled
metric() { curl -s --max-time 2 "http://$(node_ip "$1"):7071/metrics" | awk -v name="$2" '$1 == name { print $2 }'; }
leads_by_metrics() { for name in "${controllers[@]}"; do metric "$name" sumac_is_leading; done | sort | tr -d '\n'; }
expect "one controller leads by the metrics" "$(leads_by_metrics)" 00001
expect "all hold five voters" "$(metric c4 sumac_voters)" 5
check "and say where their time goes" [ -n "$(metric "$(leader)" 'sumac_busy_seconds_total{part="schedule"}')" ]

jobs=()
for number in $(seq 1 10); do
  id=$(new_job)
  jobs+=("$id")
  check "job $number is accepted" until_true 3 submitted n$((number % 2 + 1)) "$id" 5
done
victim=$(leader)
signal_process "$victim" KILL
echo "        killed $victim"
check "a job is accepted under the next leader" until_true 10 submitted n1 "$(new_job)" 2
for id in "${jobs[@]}"; do
  check "job $id is done" until_true 15 state_is n2 "$id" done
done

# A job whose tasks crash the workers that start them, beside jobs that are sound.
crashing=$(new_job)
beside=$(new_job)
check "a job is accepted" until_true 3 submitted n1 "$beside" 12
check "and one that crashes its workers" until_true 3 submitted n2 "$crashing" 1 crashing
check "it is given up" until_true 30 state_is n1 "$crashing" failed
check "the job beside it is done" until_true 20 state_is n2 "$beside" done
check "the crashes are named" ctl_finds '.document | map(select(.rule == "worker-crash")) | length >= 2 and length <= 3' n1 why job "$crashing"
expect "and so is the end" "$(jq -r '.document[-1].outcome' "$work/ctl.json")" failed
check "operators are warned" grep -qh '"event":"worker-crashed"' "$work"/c*/out.txt
check "workers are back" until_true 10 ctl_finds '.document | length == 6 and all(.state == "ready")' n1 workers

rm -rf "$work/$victim/data"
write_node "$victim" controller false
start_node "$victim"
# is_voter NAME STARTS: NAME has started with an empty disk STARTS times, and the replica of the last of
# these is a voter by the last change of members.
empty_starts() { grep -c '"event":"starts-with-empty-disk"' "$work/$1/out.txt"; }
is_voter() {
  local node
  [ "$(empty_starts "$1")" = "$2" ] || return 1
  node=$(grep -hE '"event":"starts-with-empty-disk"' "$work/$1/out.txt" | tail -1 | jq -r .node)
  cat "$work"/c*/out.txt | grep -h '"event":"controllers-change"' | jq -r '[.at, (.voters | join(" "))] | @tsv' | sort | tail -1 | grep -qwF "$node"
}
check "$victim comes back with an empty disk and votes again" until_true 20 is_voter "$victim" 2
check "and knows the declaration" [ "$(version_at "${victim#c}")" = 2 ]

# Workers that start again under their names while jobs run there.
start_named() {
  start_other named "$bin/task_workers_stand_in" --count 2 --ip 127.0.1.22 --controls "$controls" --work-ms 600 --names-stay --process named
}
start_named
check "workers that keep their names are used" until_true 10 ctl_finds '[.document[] | select(.id | test("named-")) | select(.state == "ready")] | length == 2' n1 workers
named_jobs=()
for number in $(seq 1 6); do
  id=$(new_job)
  named_jobs+=("$id")
  check "job $number is accepted before their restart" until_true 3 submitted n1 "$id" 12
done
signal_process named KILL
start_named
for id in "${named_jobs[@]}"; do
  check "job $id is done over their restart" until_true 15 state_is n2 "$id" done
done
check "the leader says that they started again" until_true 5 grep -qh '"event":"worker-restarted"' "$work"/c*/out.txt
check "and uses the new lives" until_true 10 ctl_finds '[.document[] | select(.id | test("named-")) | select(.state == "ready")] | length == 2' n1 workers
signal_process named KILL

# A leader that is no seed must be found too. With c1 and c2 silent one of the others leads, and c3 can
# hand over only to one that is no seed.
leads_now() { [ "$(grep -hE '"event":"(leads|leads-no-more|started)"' "$work/$1/out.txt" | tail -1 | jq -r .event)" = leads ]; }
others_lead() { leads_now c3 || leads_now c4 || leads_now c5; }
no_seed_leads() { leads_now c4 || leads_now c5; }
for name in c1 c2; do signal_process "$name" STOP; done
check "with two seeds silent another controller leads" until_true 10 others_lead
# A hand-over that does not end in time lets c3 win again; it is asked to stop once more then.
no_seed_comes_to_lead() {
  no_seed_leads && return 0
  leads_now c3 || return 1
  write_node c3 controller false
  signal_process c3 TERM
  start_node c3
  return 1
}
check "a controller that is no seed leads" until_true 10 no_seed_comes_to_lead
for name in c1 c2; do signal_process "$name" CONT; done
wipes=$(($(empty_starts c1) + 1))
signal_process c1 KILL
rm -rf "$work/c1/data"
write_node c1 controller false
start_node c1
check "a wiped seed finds that leader and votes again" until_true 20 is_voter c1 "$wipes"

for name in "${controllers[@]}"; do
  write_node "$name" controller false
  signal_process "$name" KILL
done
for name in "${controllers[@]}"; do start_node "$name"; done
check "after all were killed at once the last job is known" until_true 15 state_is n1 "${jobs[9]}" done
check "and the declaration" [ "$(version_at 1)" = 2 ]

# stops_in_order NAME: a planned stop ends the process with 0.
stops_in_order() {
  local code=0
  kill -TERM "${pids[$1]}"
  wait "${pids[$1]}" || code=$?
  unset "pids[$1]"
  [ "$code" = 0 ]
}
check "a planned stop of the leader ends in order" stops_in_order "$(leader)"
check "jobs go on at once" until_true 2 submitted n2 "$(new_job)" 1
check "a planned stop of an entry ends in order" stops_in_order n1
check "the other serves" submitted n2 "$(new_job)" 1
finish
