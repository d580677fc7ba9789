#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/6 to review/10 into target/, the
# folder of the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."

cmake -S . -B target -DCMAKE_BUILD_TYPE=Release \
  -DCMAKE_PROJECT_mimosadeal_INCLUDE="$PWD/review/targets-2.cmake"
cmake --build target -j8 --target review-2
