#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Does the work of the project: setup, build, run, test, check, bench. See --help.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."

build_folder=${SUMAC_BUILD:-build}
jobs=${SUMAC_JOBS:-$(nproc)}

# Debian packages, by name.
packages=(
  g++ cmake ninja-build clang-format clang-tidy libpoco-dev libcapnp-dev capnproto libabsl-dev
  libboost-dev libboost-program-options-dev liblog4cxx-dev nlohmann-json3-dev librapidcheck-dev
  libgtest-dev libgoogle-perftools-dev curl jq gnuplot-nox
)

usage() {
  cat <<'EOF'
usage: meta/sumac.sh COMMAND
  setup   install what is missing, by Debian package name
  build   setup, then build everything into build/ (or $SUMAC_BUILD)
  run     build, then the whole path with real processes on loopback; --stay leaves it up
  test    build, then all tests
  check   clang-format, clang-tidy, generated code
  bench   measurements as JSON lines
EOF
}

setup() {
  local missing=()
  local package
  for package in "${packages[@]}"; do
    if ! dpkg-query -W -f '${Status}' "$package" 2>/dev/null | grep -q 'install ok installed'; then
      missing+=("$package")
    fi
  done
  if [ ${#missing[@]} -gt 0 ]; then
    echo "installing: ${missing[*]}"
    local as_root=()
    [ "$(id -u)" -eq 0 ] || as_root=(sudo)
    "${as_root[@]}" apt-get update -qq
    DEBIAN_FRONTEND=noninteractive "${as_root[@]}" apt-get install -y -qq --no-install-recommends \
      "${missing[@]}" >/dev/null
  fi
}

configure() {
  setup
  if [ ! -f "$build_folder/build.ninja" ]; then
    cmake -S . -B "$build_folder" -G Ninja >/dev/null
  fi
}

build() {
  configure
  cmake --build "$build_folder" --parallel "$jobs" -- --quiet
}

own_sources() {
  git ls-files --cached --others --exclude-standard '*.cc' '*.h' | grep -v /generated/
}

check() {
  configure
  meta/generate.sh --check
  own_sources | xargs clang-format --dry-run --Werror
  echo "clang-format is clean"
  own_sources | grep '\.cc$' |
    xargs -P "$jobs" -n 1 clang-tidy -p "$build_folder" --quiet 2>/dev/null
  echo "clang-tidy is clean"
}

# The tests that KNOWN-RED.txt lists, one a line: Suite.Test of a unit test, or the name of a whole one.
known_red() {
  [ ! -f KNOWN-RED.txt ] || sed -n 's/^\([A-Za-z0-9_.]*\): .*/\1/p' KNOWN-RED.txt
}

# All tests but those known to be red, which are printed.
run_tests() {
  build
  local units wholes
  units=$(known_red | { grep '\.' || true; } | paste -sd:)
  wholes=$(known_red | { grep -v '\.' || true; } | paste -sd'|')
  GTEST_FILTER="*${units:+-$units}" ctest --test-dir "$build_folder" --output-on-failure \
    --parallel "$jobs" ${wholes:+--exclude-regex "^($wholes)\$"} "$@"
  if [ -n "$units$wholes" ]; then
    echo "passed over, known to be red:"
    cat KNOWN-RED.txt
  fi
}

command=${1:---help}
[ $# -eq 0 ] || shift
case "$command" in
  setup) setup ;;
  build) build ;;
  run) build && meta/run.sh "$build_folder" "$@" ;;
  test) run_tests "$@" ;;
  check) check ;;
  bench) build && meta/bench.sh "$build_folder" "$@" ;;
  --help | -h | help) usage ;;
  *)
    usage >&2
    exit 2
    ;;
esac
