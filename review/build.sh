#!/usr/bin/env bash
# Builds the stand-ins and the scripts of the review into review/target. Needs the build of the deploy file.
set -euo pipefail
cd "$(dirname "$(readlink -f "${BASH_SOURCE[0]}")")/.."
rm -rf review/target
mkdir -p review/target/classes
javac -nowarn -d review/target/classes -cp "target/lib/*" review/src/review/*.java
