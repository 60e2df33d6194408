#!/bin/sh
# Builds the program of each script of this review, stand-ins included, into target/review-2/. Needs
# nothing but the compiler and Boost.JSON, which the deploy file lists.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
g++ -std=c++20 -O1 -I. -pthread -c review/kit-2/kit_test.cc -o "$out/kit.o"
for source in review/[0-9]*/case_test.cc; do
    number=$(basename "$(dirname "$source")")
    [ "$number" -ge 6 ] || continue
    g++ -std=c++20 -O1 -I. -pthread "$source" "$out/kit.o" -o "$out/case-$number"
done
