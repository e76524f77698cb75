#!/usr/bin/env bash
# Builds the daemon and places it under target/: the jar, its libraries and an archive of its classes, which shortens
# the start of a process. The archive is made while the daemon serves a few statements of stand-ins.
set -euo pipefail
cd "$(dirname "$(readlink -f "${BASH_SOURCE[0]}")")/.."
mvn -B -ntp -q -DskipTests -pl lavenderwick-daemon -am package
rm -rf target
mkdir -p target
cp lavenderwick-daemon/target/lavenderwick-daemon-*.jar target/lavenderwickd.jar
cp -r lavenderwick-daemon/target/lib target/lib

settings=target/rehearsal.json
java -cp "platform/target/test-classes:target/lib/*" org.lavenderwick.platform.standin.Rehearsal "$settings" &
rehearsal=$!
for _ in $(seq 100); do
  [ -s "$settings" ] && break
  sleep 0.1
done
java -XX:ArchiveClassesAtExit=target/lavenderwickd.jsa -XX:+UseSerialGC -XX:TieredStopAtLevel=1 \
  -jar target/lavenderwickd.jar --sessions --settings "$settings" > target/rehearsal.log 2>&1 &
daemon=$!
wait "$rehearsal"
kill -TERM "$daemon"
wait "$daemon"
