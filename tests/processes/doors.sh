#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Bad input at every door of one real process: a clear numbered error, and nothing changed.
# usage: doors.sh BUILD_FOLDER
set -euo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/harness.sh"

process_names=(e1)
roles=([e1]='"entry","controller"')
write_all_settings
format e1
start e1
until_true 10 leader_name
ctl --revision 0 apply settings/demo-declaration.json >/dev/null
callers=127.0.0.11:8080
targets=127.0.0.11:8081
until_true 5 curl -sf "http://$callers/health"
serves() { [ "$(curl -s "http://$callers/v1/services/previews/x" -d x | jq .code)" = 1101 ]; }
until_true 5 serves

call_code() { curl -s --max-time 5 "$@" | jq -r '.code'; }
expect "an unknown service" "$(call_code "http://$callers/v1/services/nothing/x" -d x)" 1003
expect "an unknown path" "$(call_code "http://$callers/v2/x" -d x)" 1001
expect "a service without a name" "$(call_code "http://$callers/v1/services//x" -d x)" 1001
expect "a deadline that is no number" "$(call_code -H 'Sumac-Deadline-Ms: soon' "http://$callers/v1/services/previews/x" -d x)" 1001
expect "a deadline of 0" "$(call_code -H 'Sumac-Deadline-Ms: 0' "http://$callers/v1/services/previews/x" -d x)" 1001
expect "an unknown class" "$(call_code -H 'Sumac-Class: royal' "http://$callers/v1/services/previews/x" -d x)" 1001
expect "a stamp without a key" "$(call_code "http://$callers/v1/services/stamps/x" -d x)" 1004
expect "a stamp with a key without a time" "$(call_code -H 'Idempotency-Key: abcdefghijk' "http://$callers/v1/services/stamps/x" -d x)" 1004
head -c 1048577 /dev/zero >"$work/large"
expect "a body over 1 MiB" "$(call_code -H 'Expect:' --data-binary "@$work/large" "http://$callers/v1/services/previews/x")" 1002
expect "a chunked body" "$(call_code -H 'Transfer-Encoding: chunked' -d x "http://$callers/v1/services/previews/x")" 1001
expect "the refusal says that it did not run" "$(curl -s -o /dev/null -D - "http://$callers/v1/services/nothing/x" -d x | grep -i '^sumac-run' | tr -d '\r')" "Sumac-Run: not-run"
printf 'NONSENSE\r\n\r\n' | timeout 3 bash -c "cat >/dev/tcp/127.0.0.11/8080" || true
expect "nonsense instead of HTTP leaves the door open" "$(curl -s "http://$callers/health" | jq -r .status)" ok

announce_code() { curl -s --max-time 5 "http://$targets/v1/announce" -d "$1" | jq -r '.code // "accepted"'; }
good='{"target":{"name":"t1","kind":"minion","incarnation":1,"address":"127.0.0.1:1","data_centre":"d","rack":"r","pool":"previews","services":["previews"],"slots":8,"connections":64}}'
expect "an announcement that is not JSON" "$(announce_code '{')" 1001
expect "an announcement without a name" "$(announce_code '{"target":{}}')" 1001
expect "an announcement of a wrong type" "$(announce_code "${good/\"slots\":8/\"slots\":\"8\"}")" 1001
expect "an announcement with an unknown key" "$(announce_code "${good/\"slots\"/\"slot\"}")" 1001
nested=$(head -c 100000 /dev/zero | tr '\0' '[')$(head -c 100000 /dev/zero | tr '\0' ']')
echo "${good/\"slots\":8/\"slots\":$nested}" >"$work/nested-announcement"
expect "an announcement of nested lists" "$(announce_code "@$work/nested-announcement")" 1001
expect "no instance came of them" "$(ctl --json get instances | jq '.document | length')" 0
expect "a good announcement" "$(announce_code "$good")" accepted

operator_code() { ctl --json "$@" 2>/dev/null | jq -r .code; }
echo '{"pools":[{"name":"a","capacity":1},{"name":"a","capacity":1}]}' >"$work/duplicate.json"
echo '{"pools":[{"name":"a","capacity":1,"budget":{"smallest_available":2}}]}' >"$work/budget.json"
echo '{"pols":[]}' >"$work/unknown.json"
echo '{"pools":' >"$work/cut.json"
echo "{\"pools\":$nested}" >"$work/nested.json"
expect "a duplicate name" "$(operator_code --revision 1 apply "$work/duplicate.json")" 2004
expect "a budget larger than its pool" "$(operator_code --revision 1 apply "$work/budget.json")" 2005
expect "an unknown key" "$(operator_code --revision 1 apply "$work/unknown.json")" 2001
expect "a cut file" "$(operator_code --revision 1 apply "$work/cut.json")" 2001
expect "nested lists" "$(operator_code --revision 1 apply "$work/nested.json")" 2001
expect "an unknown instance" "$(operator_code drain nobody)" 2003
expect "an unknown kind" "$(operator_code get things)" 2012
expect "an unknown decision" "$(operator_code explain fleet-99999)" 2011
echo '{"id":"j","pool":"nowhere"}' >"$work/job.json"
expect "a job for an unknown pool" "$(operator_code jobs submit "$work/job.json")" 2003
echo '{"id":"j","pool":"batch","millicores":-1}' >"$work/job.json"
expect "a job of negative size" "$(operator_code jobs submit "$work/job.json")" 2012
expect "a job of nested lists" "$(operator_code jobs submit "$work/nested.json")" 2012
head -c 2000000 /dev/zero | tr '\0' ' ' >"$work/huge.json"
expect "a declaration over 1 MiB" "$(operator_code --revision 1 apply "$work/huge.json")" 2012
expect "the revision is still 1" "$(ctl --json get declaration | jq .document.revision)" 1
head -c 4096 /dev/urandom | timeout 3 bash -c "cat >/dev/tcp/127.0.0.11/9090" || true
head -c 4096 /dev/urandom | timeout 3 bash -c "cat >/dev/tcp/127.0.0.11/9091" || true
expect "malformed Cap'n Proto leaves the doors open" "$(ctl --json get declaration | jq .document.revision)" 1

expect "sumacctl's exit code for a refusal" "$(ctl drain nobody >/dev/null 2>&1; echo $?)" 1
expect "sumacctl's exit code for wrong usage" "$("$bin/sumacctl" --nonsense >/dev/null 2>&1; echo $?)" 2
expect "sumacctl's exit code when nobody answers" "$(operators=127.0.0.99:9090 ctl status >/dev/null 2>&1; echo $?)" 4
expect "sumacctl tries the next address" "$(operators=127.0.0.99:9090,127.0.0.11:9090 ctl --json status | jq -r .document.process)" e1
expect "sumacd's exit code for wrong settings" "$("$bin/sumacd" --settings /nonexistent >/dev/null 2>&1; echo $?)" 3
expect "and for settings of nested lists" "$("$bin/sumacd" --settings "$work/nested.json" >/dev/null 2>&1; echo $?)" 3
finish
