#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/11 to review/15 start, beside
# the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B target -DCMAKE_BUILD_TYPE=Release \
  -DCMAKE_PROJECT_mimosadeal_INCLUDE="$PWD/review/standins-3/targets.cmake"
cmake --build target -j8 --target mimosadeal \
  review3-paused-reader review3-two-owners review3-relayed-body
