#!/usr/bin/env bash
# Runs the case; see claim.txt. With TROUBLE=0 it does the same without the disruption.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$(readlink -f "${BASH_SOURCE[0]}")")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
java -cp "review/target/classes:target/lib/*" review.SyncLoss review/2/record.txt &
case=$!
trap 'kill -TERM "$case"' TERM INT
wait "$case"
case $? in
  0) exit 0 ;;
  11) exit 1 ;;
  *) exit 2 ;;
esac
