#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the third review, in target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O1 -pthread -Wall -o target/review-3/standin \
    review/standin-3/main.cpp review/standin-3/standin.cpp
