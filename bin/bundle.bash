#!/usr/bin/env bash
# Builds the daemon and places it under target/: the jar, its libraries and a class-data archive, which shortens the
# start of a process several times.
set -euo pipefail
cd "$(dirname "$(readlink -f "${BASH_SOURCE[0]}")")/.."
mvn -B -ntp -q -DskipTests -pl lavenderwick-daemon -am package
rm -rf target
mkdir -p target
cp lavenderwick-daemon/target/lavenderwick-daemon-*.jar target/lavenderwickd.jar
cp -r lavenderwick-daemon/target/lib target/lib
