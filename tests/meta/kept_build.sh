#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# A build folder that is kept while the sources are replaced by others with older times linked the objects of the
# sources before. Such a build starts anew; one whose changed sources are newer does not.
# usage: kept_build.sh
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
mkdir -p "$work/meta" "$work/libraries" "$work/build"
cp meta/source_digest.cmake meta/packages.cmake "$work/meta"
touch "$work/CMakeLists.txt"
failures=0
# configure: as the root's build does before each build.
configure() { cmake -DOUTPUT="$work/build/digest.h" -DBUILD="$work/build" -P "$work/meta/source_digest.cmake" 2>/dev/null; }
# write TEXT AGE: one source with this text and a time that many seconds ago.
write() {
  echo "$1" >"$work/libraries/one.cc"
  touch -d "$2 seconds ago" "$work/libraries/one.cc"
}
# expect_build TEXT WANTED: whether a build now is whole or goes by times.
expect_build() {
  local found=by-times
  touch "$work/build/.ninja_log"
  configure
  [ -e "$work/build/.ninja_log" ] || found=whole
  if [ "$found" = "$2" ]; then echo "ok      $1"; else
    echo "FAILED  $1: $found, wanted $2"
    failures=$((failures + 1))
  fi
}
write first 100
expect_build "a folder of a build without a digest" whole
expect_build "the same sources" by-times
write second 100
expect_build "another source with an older time" whole
expect_build "the same sources again" by-times
write third -10
expect_build "a source that was edited since" by-times
[ "$failures" = 0 ]
