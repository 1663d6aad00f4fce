#!/usr/bin/env bash
# Builds the programs of the cases, with their stand-ins, into target/review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/support/*.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -c "$source" \
        -o "target/review/$(basename "$source" .cpp).o" &
done
wait
for source in review/[1-5]/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" target/review/*.o \
        -o "target/review/case$number" &
done
wait
for source in review/[1-5]/case.cpp; do
    test -x "target/review/case$(basename "$(dirname "$source")")"
done
