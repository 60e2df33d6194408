#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/out. They need g++ and Boost's headers, which the
# deploy file declares.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p out
g++ -std=c++20 -O1 -pthread standins_test.cc -o out/standins
