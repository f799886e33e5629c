#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Builds the stand-ins of the review's cases 9 and up into target/review-3/. Run it after the build of
# the deploy file; it needs g++ and nlohmann-json, which that build needs too, and no network.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
[ -x target/bin/sumacd ] || {
  echo "build the deploy file's target first" >&2
  exit 2
}
mkdir -p target/review-3
for name in overlap wave poison stops; do
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread \
    -o "target/review-3/$name" "review/common-3/${name}_main.cc" review/common-3/rig.cc
done
