# SPDX-License-Identifier: Apache-2.0
# What the tests of real processes share; sourced with the build folder as first argument. Gives
# `bin`, an empty folder `work`, the functions of meta/cluster.sh, check and finish; all that was
# started is stopped on exit.

cd "$(dirname "${BASH_SOURCE[0]}")/../.."
bin=$(cd "$1" && pwd)/bin
work=$(mktemp -d)
source meta/cluster.sh
trap 'stop_all; rm -rf "$work"' EXIT

failures=0

# check TEXT COMMAND...: prints TEXT with whether the command succeeded.
check() {
  local text=$1
  shift
  if "$@"; then
    echo "ok      $text"
  else
    echo "FAILED  $text"
    failures=$((failures + 1))
  fi
}

# expect TEXT FOUND WANTED
expect() {
  check "$1${4:-}" [ "$2" = "$3" ] || true
  [ "$2" = "$3" ] || echo "          found $2, wanted $3"
}

# Ends the test by its checks.
finish() { [ "$failures" = 0 ]; }
