#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases of the second review, after
# the build of deploy/system.toml. Needs a compiler and jsoncpp only.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++17 -O1 -Wall -Wextra -I review/rig-2 -I /usr/include/jsoncpp)
g++ "${flags[@]}" -c review/rig-2/rig.cc -o "$out/rig.o"
for it in review/*/case.cc; do
  number=$(basename "$(dirname "$it")")
  [ "$number" -ge 6 ] || continue
  g++ "${flags[@]}" "$it" "$out/rig.o" -ljsoncpp -pthread -o "$out/case-$number"
done
