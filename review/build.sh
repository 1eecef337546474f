#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --build target --target bluebell-standin
mkdir -p target/review
for name in endlessbody uploads headrequests silentserver; do
    c++ -std=c++20 -O1 -Wall -Wextra -pthread review/standin/kit.cpp "review/standin/$name.cpp" \
        -o "target/review/$name"
done
