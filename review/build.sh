#!/bin/sh
# Builds the stand-ins and clients of the review scripts into target/review/. Needs only packages
# that deploy/system.toml lists.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/*/case.cpp; do
  number=$(basename "$(dirname "$case")")
  g++ -std=c++17 -O1 -pthread -Wall -o "target/review/case$number" "$case"
done
