#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$(readlink -f "${BASH_SOURCE[0]}")")/../.." || exit 2
[ -d target/review-2 ] || { echo "run review/build-2.sh first" >&2; exit 2; }
exec java -Xmx512m -cp "target/review-2:target/lib/*" review2.Stop review/8
