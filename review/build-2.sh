#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Builds the stand-ins that the scripts of review/4 to review/8 start, into target/review-2/bin. Needs nothing beyond the
# packages of the deploy file: the project is configured without its tests, and the folder of stand-ins is added.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
cmake -S . -B target/review-2 -G Ninja -DCMAKE_BUILD_TYPE=Release -DSUMAC_TESTS=OFF \
  -DCMAKE_PROJECT_sumacstack_INCLUDE="$PWD/review/common-2/stand_ins.cmake" >/dev/null
cmake --build target/review-2 --target task_workers_stand_in
