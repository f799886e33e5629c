#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# The whole path with real processes on loopback: 3 controllers-and-entries, 2 more entries, and the
# stand-ins. Prints each step with what was checked; exits 0 only when every check held.
# usage: meta/run.sh BUILD_FOLDER [--stay]
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."

bin=$(cd "$1" && pwd)/bin
stay=${2:-}
work=$PWD/run
rm -rf "$work"
mkdir -p "$work"
source meta/cluster.sh

checks=0
failures=0
step() { printf '\n== %s\n' "$*"; }
check() {
  local text=$1
  shift
  checks=$((checks + 1))
  if "$@"; then
    printf '   ok      %s\n' "$text"
  else
    printf '   FAILED  %s\n' "$text"
    failures=$((failures + 1))
  fi
}
equals() { [ "$1" = "$2" ] || { echo "           found $1, wanted $2"; false; }; }
trap 'stop_all' EXIT

# call ENTRY SERVICE BODY [curl arguments]: one request; the answer's headers go to $work/headers.
call() {
  local entry=$1 service=$2 body=$3
  shift 3
  curl -s --max-time 10 -D "$work/headers" -H "Sumac-Caller: run" --data-binary "$body" "$@" \
    "http://$(ip_of "$entry"):$callers_port/v1/services/$service/clip"
}
header() { grep -i "^$1:" "$work/headers" | tr -d '\r' | cut -d' ' -f2; }

step "Start 5 sumacd (3 of them controllers), 8 minions of two services, 4 workers, the platform"
process_names=(e1 e2 e3 e4 e5)
roles=([e1]='"entry","controller"' [e2]='"entry","controller"' [e3]='"entry","controller"' [e4]='"entry"' [e5]='"entry"')
write_all_settings
for name in "${process_names[@]}"; do
  "$bin/sumacd" --settings "$work/$name/settings.json" --check >/dev/null
done
for name in e1 e2 e3; do format "$name"; done
start_other platform "$bin/platform_stand_in" "$platform_address"
for name in "${process_names[@]}"; do start "$name"; done
check "a controller leads" until_true 10 leader_name
entries=$(target_addresses)
start_other previews "$bin/targets_stand_in" --kind minion --prefix preview --count 4 --ip 127.0.0.30 \
  --first-port 7001 --entries "$entries" --platform "$platform_address" --pool previews --service previews \
  --data-centres 4 --work-ms 20
start_other stamps "$bin/targets_stand_in" --kind minion --prefix stamp --count 4 --ip 127.0.0.31 \
  --first-port 7001 --entries "$entries" --platform "$platform_address" --pool stamps --service stamps \
  --data-centres 4 --work-ms 20
start_other workers "$bin/targets_stand_in" --kind worker --prefix worker --count 4 --ip 127.0.0.32 \
  --first-port 7001 --entries "$entries" --platform "$platform_address" --pool batch --data-centres 4

step "Declare pools with budgets and two services from settings/demo-declaration.json"
check "apply at revision 0 is accepted" ctl --operator ana --request-id first --revision 0 apply settings/demo-declaration.json
check "the resend gets the first answer" ctl --operator ana --request-id first --revision 0 apply settings/demo-declaration.json
ctl --operator ben --revision 0 apply settings/demo-declaration.json 2>"$work/conflict" && conflict=no || conflict=yes
check "the second operator with the same number gets a conflict" equals "$conflict" yes
check "the conflict names the winner" grep -q "by ana" "$work/conflict"
check "pool previews has 4 available" until_true 10 has_available previews 4
check "pool batch has 4 available" until_true 10 has_available batch 4

step "Preview requests through all five entries"
served=0
for name in "${process_names[@]}"; do
  until_true 5 call "$name" previews ready -f
  for number in 1 2 3 4; do
    [ "$(call "$name" previews "clip-$name-$number" | jq -r .echo)" = "clip-$name-$number" ] && served=$((served + 1))
  done
done
check "20 of 20 previews came back whole and as their own" equals "$served" 20
preview_decision=$(header Sumac-Decision)

step "One licence stamp (non-repeatable) through e1, resent through e4 and e5"
key=$(new_key)
first=$(call e1 stamps "licence-1" -H "Idempotency-Key: $key")
again=$(call e4 stamps "licence-1" -H "Idempotency-Key: $key")
once_more=$(call e5 stamps "licence-1" -H "Idempotency-Key: $key")
check "the stamp was answered" equals "$(jq -r .echo <<<"$first")" "licence-1"
check "both resends got the first answer" equals "$again$once_more" "$first$first"
stamp_runs() {
  local port total=0
  for port in 7001 7002 7003 7004; do
    total=$((total + $(curl -s "http://127.0.0.31:$port/control" | jq ".runs[\"$1\"] // 0")))
  done
  echo "$total"
}
check "it ran once by the minions' own count" equals "$(stamp_runs licence-1)" 1
call e2 stamps "licence-2" -H "Idempotency-Key: $key" >/dev/null
check "the same key with another body is refused with 1005" equals "$(header Sumac-Code)" 1005
check "and was not run" equals "$(stamp_runs licence-2)" 0

step "Submit a job, and one that can never run"
echo '{"id":"catalogue-1","pool":"batch","priority":"urgent","millicores":4000,"memory_mb":2048,"run_ms":500}' >"$work/job.json"
echo '{"id":"impossible-1","pool":"batch","accelerators":9}' >"$work/impossible.json"
check "the job is queued" ctl jobs submit "$work/job.json"
check "the job finished" until_true 10 job_is catalogue-1 finished
ctl --json jobs submit "$work/impossible.json" >"$work/refused.json" || true
check "the other is refused with 2008" equals "$(jq .code "$work/refused.json")" 2008
refusal=$(jq -r .decision "$work/refused.json")

step "Drain and reboot preview-1 with requests in flight"
for number in $(seq 1 40); do
  call e$((number % 5 + 1)) previews "during-$number" -o "$work/during-$number" -D /dev/null &
  background[number]=$!
  sleep 0.05
  [ "$number" = 10 ] && ctl reboot preview-1
done
wait "${background[@]}"
whole=0
for number in $(seq 1 40); do
  [ "$(jq -r .echo "$work/during-$number" 2>/dev/null)" = "during-$number" ] && whole=$((whole + 1))
done
check "40 of 40 requests during the drain were answered whole" equals "$whole" 40
check "preview-1 was rebooted and is back" until_true 20 instance_is preview-1 available
check "the platform rebooted it once, however often it was told" equals \
  "$(curl -s "http://$platform_address/" | jq -c '.progress | length')" 1
check "no request was cut off" equals "$(curl -s http://127.0.0.30:7001/control | jq .cut_by_reboot)" 0
ctl drain preview-1 >/dev/null
ctl --json drain preview-2 >"$work/budget.json" || true
check "a second drain would break the budget and is refused with 2006" equals "$(jq .code "$work/budget.json")" 2006
check "preview-1 is given back" ctl undrain preview-1

step "Move stamp-4 to the pool spares"
check "the move is granted" ctl move stamp-4 spares
moved() { [ "$(instance_field stamp-4 .pool)" = spares ]; }
check "stamp-4 is in spares, and only there" until_true 15 moved
move_decision=$(ctl --json why instance stamp-4 | jq -r '[.document[] | select(.outcome == "moved")][0].id')

step "Kill the leading controller with kill -9, go on, restart it"
victim=$(leader_name)
signal_process "$victim" KILL
echo "   killed  $victim"
other=$([ "$victim" = e1 ] && echo e2 || echo e1)
check "previews go on at once" equals "$(call "$other" previews after-kill | jq -r .echo)" after-kill
key=$(new_key)
stamped() { [ "$(call "$other" stamps licence-3 -H "Idempotency-Key: $key" | jq -r .echo)" = licence-3 ]; }
check "a stamp goes through under the new leader" until_true 10 stamped
check "and ran once" equals "$(stamp_runs licence-3)" 1
start "$victim"
caught_up() {
  [ "$(operators="$(ip_of "$victim"):$operators_port" ctl --json status | jq .document.view_version)" = \
    "$(operators="$(ip_of "$other"):$operators_port" ctl --json status | jq .document.view_version)" ]
}
check "$victim is back and has caught up" until_true 10 caught_up
check "the declaration's revision is still 1" equals "$(ctl --json get declaration | jq .document.revision)" 1

step "Explain one placement, one move and one refusal"
placement=$(ctl --json why job catalogue-1 | jq -r '[.document[] | select(.outcome == "placed")][0].id')
for decision in "$placement" "$move_decision" "$refusal" "$preview_decision"; do
  check "explain $decision" ctl explain "$decision"
done

step "$checks checks, $failures failed"
if [ "$stay" = --stay ]; then
  echo "The processes stay up until you press Enter. Talk to them with:"
  echo "  export SUMAC_OPERATORS=$(operator_addresses)"
  echo "  $bin/sumacctl get instances"
  echo "  curl -d hello http://127.0.0.11:$callers_port/v1/services/previews/clip"
  read -r || true
fi
[ "$failures" = 0 ]
