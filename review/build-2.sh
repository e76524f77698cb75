#!/usr/bin/env bash
# Builds what the scripts of this review start beside the daemon, after the build of the deploy file: its own stand-ins,
# and those of the project that they use. Everything is placed under target/.
set -euo pipefail
cd "$(dirname "$(readlink -f "${BASH_SOURCE[0]}")")/.."
rm -rf target/review-2
mkdir -p target/review-2
standins=platform/src/test/java/org/lavenderwick/platform/standin
javac --release 17 -encoding UTF-8 -d target/review-2 -cp "target/lib/*" \
  "$standins/StoreStandin.java" "$standins/FreePorts.java" review/src-2/review2/*.java
