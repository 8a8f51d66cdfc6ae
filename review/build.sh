#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, in target/review/.
# The daemon comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for it in review/[1-5]/case.cc; do
  n=$(basename "$(dirname "$it")")
  g++ -std=c++17 -O1 -Wall -Wextra -Ireview -I/usr/include/jsoncpp \
    review/rig/rig.cc "$it" -o "target/review/case$n" -ljsoncpp -pthread
done
