#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# The core is killed and loses two disks while the vote of a machine that stands still is passed on.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Run it after the build of the deploy file and review/build-3.sh.
set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
here=review/9
[ -x target/review-3/overlap ] || exit 2
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
timeout --kill-after=2 115 target/review-3/overlap "$PWD" "$work" "$PWD/$here/record.txt"
code=$?
case "$code" in
  0 | 1) exit "$code" ;;
  *) exit 2 ;;
esac
