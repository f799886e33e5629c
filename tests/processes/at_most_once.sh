#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Non-repeatable requests under load while entries, leaders and minions fail. At the end the
# minions' own counts are held against the callers' answers: nothing ran twice, whatever was said
# to have not run did not, and whatever was answered ran.
# usage: at_most_once.sh BUILD_FOLDER
set -euo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/harness.sh"

process_names=(e1 e2 e3 e4 e5)
roles=([e1]='"entry","controller"' [e2]='"entry","controller"' [e3]='"entry","controller"' [e4]='"entry"' [e5]='"entry"')
write_all_settings
for name in e1 e2 e3; do format "$name"; done
start_other platform "$bin/platform_stand_in" "$platform_address"
for name in "${process_names[@]}"; do start "$name"; done
until_true 10 leader_name
ctl --revision 0 apply settings/demo-declaration.json >/dev/null
start_other stamps "$bin/targets_stand_in" --kind minion --prefix stamp --count 4 --ip 127.0.0.31 \
  --first-port 7001 --entries "$(target_addresses)" --platform "$platform_address" --pool stamps \
  --service stamps --work-ms 10
until_true 10 has_available stamps 4
sleep 1

doors() {
  local name list=""
  for name in "${process_names[@]}"; do list+="${list:+,}$(ip_of "$name"):$callers_port"; done
  echo "$list"
}
"$bin/caller_stand_in" --entries "$(doors)" --target /v1/services/stamps/x --rate 150 --seconds 14 \
  --threads 96 --label stamp --keys "$work/keys" >"$work/line" &
caller=$!

fault() { curl -s "http://127.0.0.31:$1/control?fault=$2&count=$3" >/dev/null; }
sleep 1
fault 7001 close_after_run 5
fault 7002 truncate 5
fault 7003 mismatch 5
fault 7004 no_length 5
sleep 1
signal_process e4 KILL
sleep 1
start e4
leader=$(leader_name)
signal_process "$leader" KILL
sleep 2
start "$leader"
until_true 10 leader_name
frozen=$(leader_name)
signal_process "$frozen" STOP
sleep 2
signal_process "$frozen" CONT
until_true 10 leader_name
ctl reboot stamp-2 >/dev/null || true
sleep 1
signal_process e5 TERM
start e5
wait "$caller"
cat "$work/line"

# Every body with how often it was run, over all minions.
for port in 7001 7002 7003 7004; do
  curl -s "http://127.0.0.31:$port/control"
done | jq -s '[.[].runs | to_entries[]] | group_by(.key) | map({key: .[0].key, value: (map(.value) | add)}) | from_entries' >"$work/runs"

run_codes_not_run="1001 1002 1003 1004 1005 1006 1101 1102 1103 1104 1105 1106"
judge() {
  jq -R -s --slurpfile runs "$work/runs" --arg not_run "$run_codes_not_run" '
    ($not_run | split(" ")) as $not_run_codes |
    [split("\n")[] | select(length > 0) | split(" ") | {body: .[0], code: .[1], runs: ($runs[0][.[0]] // 0)}] |
    {requests: length,
     answered: map(select(.code == "0")) | length,
     unknown: map(select(.code | startswith("12"))) | length,
     no_answer: map(select(.code == "-1")) | length,
     twice: map(select(.runs > 1)) | length,
     answered_but_not_run: map(select(.code == "0" and .runs != 1)) | length,
     false_not_run: map(select((.code as $code | $not_run_codes | index($code)) and .runs > 0)) | length}' <"$work/keys"
}
judge >"$work/verdict"
cat "$work/verdict"
is_zero() { [ "$(jq "$1" "$work/verdict")" = 0 ]; }
check "nothing ran twice" is_zero .twice
check "whatever was answered ran once" is_zero .answered_but_not_run
check "whatever was refused as not run did not run" is_zero .false_not_run
check "no answer was cut or another's" [ "$(jq .foreign_or_cut "$work/line")" = 0 ]
check "most requests were answered all the same" [ "$(jq '.answered * 10 > .requests * 7' "$work/verdict")" = true ]
check "the faults showed: some outcomes are unknown" [ "$(jq '.unknown > 0' "$work/verdict")" = true ]

# All controllers are gone: the entries go on with what they have.
start_other previews "$bin/targets_stand_in" --kind minion --prefix preview --count 1 --ip 127.0.0.30 \
  --first-port 7001 --entries "$(target_addresses)" --pool previews --service previews --work-ms 5
ask() { curl -s --max-time 8 "http://$(ip_of e4):$callers_port/v1/services/$1/x" -d "$2" "${@:3}"; }
serves() { [ "$(ask previews hello | jq -r .echo)" = hello ]; }
check "the new minion is routed to" until_true 10 serves
for name in e1 e2 e3; do signal_process "$name" KILL; done
sleep 3
check "a cut-off entry serves repeatable requests" serves
check "and refuses a stamp as not run" \
  [ "$(ask stamps cut-off -H "Idempotency-Key: $(new_key)" | jq -r '"\(.code) \(.run)"')" = "1105 not-run" ]
ran_cut_off() { for port in 7001 7002 7003 7004; do curl -s "http://127.0.0.31:$port/control"; done | jq -s '[.[].runs["cut-off"] // 0] | add'; }
check "and it did not run" [ "$(ran_cut_off)" = 0 ]
view_age=$(curl -s "http://$(ip_of e4):$targets_port/metrics" | awk '/^sumac_view_age_ms/ {print int($2)}')
check "and says how old its view is" [ "$view_age" -ge 2000 ]
finish
