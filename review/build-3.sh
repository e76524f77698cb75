#!/usr/bin/env bash
# Builds what the scripts of the third review start beside the daemon, after the build of the deploy file: the programs
# of the cases and the stand-ins of the project that they use. Everything is placed under target/review-3.
set -euo pipefail
cd "$(dirname "$(readlink -f "${BASH_SOURCE[0]}")")/.."
out=target/review-3
rm -rf "$out"
mkdir -p "$out"
standins=platform/src/test/java/org/lavenderwick/platform/standin
javac --release 17 -encoding UTF-8 -d "$out" -cp "target/lib/*" \
  "$standins/StoreStandin.java" "$standins/DatabaseStandin.java" "$standins/EndpointStandin.java" \
  "$standins/EndpointStandinConnection.java" "$standins/OperatorStandin.java" "$standins/FreePorts.java" \
  review/src-3/review3/*.java
