#!/usr/bin/env bash
# Builds every stand-in that the scripts of the review start, into
# review/.build. The daemon comes from the build of deploy/system.toml.
set -euo pipefail
root="$(cd "$(dirname "$0")/.." && pwd)"
cmake -S "$root" -B "$root/review/.build" -DCMAKE_BUILD_TYPE=Release \
  -DCMAKE_PROJECT_mimosadeal_INCLUDE="$root/review/cases.cmake" >/dev/null
cmake --build "$root/review/.build" -j"${JOBS:-4}" --target review_cases
