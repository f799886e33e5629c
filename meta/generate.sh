#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Writes the committed Cap'n Proto code in libraries/wire anew from schemas/. With --check it
# changes nothing and fails if the committed code is stale.
set -euo pipefail
cd "$(dirname "$0")/.."
target=libraries/wire/generated
out=$target
if [ "${1:-}" = --check ]; then
  out=$(mktemp -d)
  trap 'rm -rf "$out"' EXIT
fi
mkdir -p "$out"
capnp compile --src-prefix=schemas -I/usr/include -o"c++:$out" schemas/*.capnp
if [ "${1:-}" = --check ]; then
  diff -r "$out" "$target" && echo "generated code is up to date"
fi
