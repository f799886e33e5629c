#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Builds the stand-ins that the scripts under review/ start, into review/bin. Needs the build of the deploy
# file in target/, whose libraries it links, and nothing from a network.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p review/bin
libraries=(http scheduler log routing jobs fleet statechart codec base)
archives=()
for name in "${libraries[@]}"; do archives+=("target/libraries/$name/libsumac_$name.a"); done
g++ -std=c++20 -O2 -I. -o review/bin/task_workers_stand_in \
  tests/stand_ins/task_workers_main.cc tests/stand_ins/task_worker.cc tests/libraries/scheduler/fake_worker.cc \
  -Wl,--start-group "${archives[@]}" -Wl,--end-group \
  -lboost_program_options -llog4cxx -lkj-http -lkj-async -lkj -lPocoNet -lPocoFoundation \
  -labsl_statusor -labsl_status -labsl_cord -labsl_strings -labsl_str_format_internal \
  -labsl_raw_logging_internal -labsl_throw_delegate -labsl_base -labsl_cord_internal -labsl_cordz_info \
  -labsl_strings_internal -labsl_int128 -labsl_time -labsl_time_zone -lpthread -ldl
