#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Processes that cannot start: the error is on standard error and in the log, as JSON, and the exit code is the
# documented one. One whose data is damaged does not end, and says why it waits.
# usage: ends.sh BUILD_FOLDER
set -euo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/harness.sh"
source "$(dirname "${BASH_SOURCE[0]}")/nodes.sh"

# run_node NAME: runs a process with few file descriptors until it ends; sets `exit_code`, to 124 for one that did not.
run_node() {
  exit_code=0
  (ulimit -Sn 300 && timeout 10 "$bin/sumacd" --settings "$work/$1/settings.json") \
    >"$work/$1/out.txt" 2>"$work/$1/error.txt" || exit_code=$?
}
# last_line NAME FIELD: prints a field of the last line of the log.
last_line() { tail -1 "$work/$1/out.txt" | jq -r ".$2" 2>/dev/null || true; }

write_node c1 controller true
mkdir -p "$work/c1/data"
echo '{' >"$work/c1/data/identity.json"
run_node c1
expect "a damaged data folder doesn't end the start" "$exit_code" 124
expect "the log's last line is an error" "$(last_line c1 level)" error
expect "it says that the data can't be read" "$(last_line c1 event)" data-unreadable
expect "and why" "$(last_line c1 code)" 4001
check "and names the file" grep -q '"error":"[^"]*identity.json' "$work/c1/out.txt"
check "the folder is as it was" [ "$(cat "$work/c1/data/identity.json")" = "{" ]

write_node c4 controller true
mkdir -p "$work/c4/data"
echo '{"format_version": 1, "node": "127.0.1.9:7060.1"}' >"$work/c4/data/identity.json"
run_node c4
expect "the data folder of another process ends the start" "$exit_code" 1
check "standard error names its owner" grep -q 'error 3002: .*belongs to 127.0.1.9:7060.1' "$work/c4/error.txt"
expect "the last line is an error, too" "$(last_line c4 level)" error
expect "it says that the process ended" "$(last_line c4 event)" ended-with-error
expect "and why, for its owner" "$(last_line c4 code)" 3002
expect "with the exit code" "$(last_line c4 exit_code)" 1

write_node c2 controller true
change_settings c2 '.most_descriptors = 5000'
run_node c2
expect "more descriptors than are allowed end the start" "$exit_code" 1
check "standard error names both figures" grep -q 'error 3002: .*5000.*300' "$work/c2/error.txt"
expect "the log says that the process ended" "$(last_line c2 event)" ended-with-error
expect "and why, for descriptors" "$(last_line c2 code)" 3002

write_node c3 controller true
change_settings c3 '.tolerated_losses = "two"'
run_node c3
expect "wrong settings end the start" "$exit_code" 3
check "standard error names the key" grep -q 'error 3002: .*tolerated_losses' "$work/c3/error.txt"

finish
