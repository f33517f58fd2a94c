#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/spanflow ] && [ -x bin/review2 ] || { echo "not built: run the build of deploy/balancer.toml and review/build-2.sh"; exit 2; }
exec bin/review2 lameduck review/8
