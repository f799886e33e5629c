#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# What strangers send to the doors of a group with few file descriptors. Malformed requests were answered with a
# library's exception, and connections that say nothing took the descriptors of disk and peers.
# usage: strangers.sh BUILD_FOLDER
set -euo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/harness.sh"

controllers=(c1 c2 c3 c4 c5)
entries=(n1)
descriptors=300
source "$(dirname "${BASH_SOURCE[0]}")/nodes.sh"

for name in "${controllers[@]}" "${entries[@]}"; do
  write_node "$name" "$(role_of "$name")" true
  start_node "$name" "$descriptors"
done
manifest 1
check "the group forms and takes a declaration" until_true 10 declared 1
check "the entry is ready" until_true 5 ready n1

declare -A doors=([control]="$(node_ip c2):8623" [metrics]="$(node_ip c2):7071" [callers]="$(node_ip n1):8624"
  [health]="$(node_ip n1):8622")
node_of() { case "$1" in control | metrics) echo c2 ;; *) echo n1 ;; esac; }
# A door that refuses early closes while the rest is still being written.
trap '' PIPE
# sent DOOR TEXT: what the door answers to these bytes, with printf's escapes.
sent() {
  local socket
  exec {socket}<>"/dev/tcp/${doors[$1]%:*}/${doors[$1]#*:}"
  printf "$2" >&"$socket" 2>/dev/null || true
  timeout 10 cat <&"$socket" || true
  exec {socket}>&-
}
is_refused() {
  sent "$1" "$2" >"$work/answer"
  grep -q '^HTTP/1.1 400 ' "$work/answer" && grep -q '"code":1001' "$work/answer" &&
    ! grep -qE 'stack:|kj/|exception' "$work/answer"
}
for door in "${!doors[@]}"; do
  head='PUT /config HTTP/1.1\r\nHost: h\r\n'
  check "two lengths at $door" is_refused "$door" "${head}Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}"
  check "a negative chunk at $door" is_refused "$door" "${head}Transfer-Encoding: chunked\r\n\r\n-5\r\n{}\r\n0\r\n\r\n"
  check "a head of 200 KB at $door" is_refused "$door" "${head}X: $(head -c 200000 /dev/zero | tr '\0' x)\r\n\r\n"
  check "no HTTP at $door" is_refused "$door" '\x01\x02\r\n\r\n'
  check "$(node_of "$door") logged it" grep -q "\"event\":\"request-unreadable\"" "$work/$(node_of "$door")/out.txt"
done

doors+=([peers]="$(node_ip c2):7060" [operators]="$(node_ip c2):7070" [entry]="$(node_ip n1):7070")
# hold DOOR: opens more connections than a process may have descriptors, and keeps them.
# It ends as one process, so that nothing of it outlives a kill.
hold() {
  local count socket
  for count in $(seq 400); do
    command exec {socket}<>"/dev/tcp/${doors[$1]%:*}/${doors[$1]#*:}" || true
  done
  exec sleep 60
}
count_held() { ls "/proc/${pids[$1]}/fd" | wc -l; }
version=1
for door in "${!doors[@]}"; do
  hold "$door" 2>/dev/null &
  pids[holder]=$!
  sleep 1
  for name in "${controllers[@]}" "${entries[@]}"; do
    check "$name is within its limit beside 400 connections at $door" [ "$(count_held "$name")" -lt "$descriptors" ]
  done
  version=$((version + 1))
  manifest "$version"
  check "a declaration by c2 beside them" until_true 10 declared "$version" 2
  check "c2 shows it" until_true 10 [ "$(version_at 2)" = "$version" ]
  check "the entry is ready beside them" until_true 5 ready n1
  check "c2 tells its metrics beside them" curl -sf --max-time 5 -o "$work/metrics" "http://${doors[metrics]}/metrics"
  check "an operator is answered beside them" ctl_finds '.code == 0' c2 status
  kill "${pids[holder]}" 2>/dev/null || true
  wait "${pids[holder]}" 2>/dev/null || true
  unset "pids[holder]"
done

# Random bytes instead of Cap'n Proto.
head -c 100000 /dev/urandom | timeout 2 bash -c "cat >/dev/tcp/${doors[peers]%:*}/${doors[peers]#*:}" 2>/dev/null || true
for name in "${controllers[@]}" "${entries[@]}"; do
  check "$name has not ended" kill -0 "${pids[$name]}"
  check "all that $name wrote is JSON" jq -e . "$work/$name/out.txt" >/dev/null
done
finish
