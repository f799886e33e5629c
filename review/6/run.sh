#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# A client hands a job in through an entry that freezes for 4 s, gives up at its time limit, and cancels the job through
# another entry. The cancel is confirmed. Then the entry wakes and hands the job in.
# Exit: 1 if the rule UNASKED was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: the entry does not freeze.
set -euo pipefail
case_folder=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
source "$case_folder/../common-2/system.sh"
trouble=${TROUBLE:-1}

cancel_ms=3000
freeze_s=4
is_stopped() { grep -q '^State:.*T' "/proc/${pids[$1]}/status"; }
start_system
start_workers w1 previews 4 6000
served() { [ "$(call e1 POST "/clips/$(new_job)" '{"spec":"short","steps":[{"count":1,"cpu":100,"mem_mb":10,"estimate_ms":6000}]}')" = 200 ]; }
until_true 10 served || cannot_run "no job is accepted"
runs() { grep -q '"event":"start"' "$work/w1.jsonl"; }
until_true 10 runs || cannot_run "no work unit is started"
# The core and the workers have been calm for contact_ms.
sleep 3.5

job=$(new_job)
body='{"spec":"two steps","steps":[{"count":1,"cpu":500,"mem_mb":10,"estimate_ms":6000},{"count":1,"cpu":500,"mem_mb":10,"estimate_ms":6000,"after":[0]}]}'
if [ "$trouble" = 1 ]; then
  note "e1 freezes"
  signal e1 STOP
  until_true 1 is_stopped e1 || cannot_run "e1 does not freeze"
  { sleep "$freeze_s" && kill -CONT "${pids[e1]}" && note "e1 wakes"; } &
  thaw=$!
fi
note "sent: POST /clips/$job to e1, two steps of one work unit, the second after the first"
note "answered: $(call e1 POST "/clips/$job" "$body") (000: none within the time limit of 3 s; the client has left)"
if [ "$trouble" = 1 ]; then is_stopped e1 || cannot_run "e1 was woken by something else"; fi
note "sent: DELETE /clips/$job to e2"
status=$(call e2 DELETE "/clips/$job")
confirmed_at=$(now_ms)
note "answered: $status $(cat "$work/body")"
case "$status" in 2?? | 410) ;; *) cannot_run "the cancel was not confirmed" ;; esac
if [ "$trouble" = 1 ]; then wait "$thaw"; fi
for second in 2 4 8 12 15; do
  while [ "$(now_ms)" -lt $((confirmed_at + second * 1000)) ]; do sleep 0.1; done
  note "$second s after the confirmation: GET /clips/$job at e3 answers $(call e3 GET "/clips/$job") $(cat "$work/body")"
done
note "what the workers saw of the job:"
jq -c --arg job "$job" --argjson from "$confirmed_at" \
  'select((.task // "") | startswith($job)) | {event, task, run, worker, cause, ms_after_the_confirmation: (.at - $from)}' \
  "$work/w1.jsonl" | tee -a "$record"
late=$(jq -s --arg job "$job" --argjson limit $((confirmed_at + cancel_ms)) \
  '[.[] | select(.event == "start" and (.task | startswith($job)) and .at > $limit)] | length' "$work/w1.jsonl")
if [ "$late" -gt 0 ]; then
  note "BROKEN: $late work units of the job were started later than cancel_ms ($cancel_ms) after its cancelling was confirmed"
  exit 1
fi
note "held: no work unit of the job was started later than cancel_ms ($cancel_ms) after its cancelling was confirmed"
