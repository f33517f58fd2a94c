#!/usr/bin/env bash
# Plays the case once: exit 1 if the rule was broken, 0 if it held, 2 if the case could not be run. TROUBLE=0 leaves the
# disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x bin/spanflow ] && [ -x review/bin/drive ] || exit 2
exec review/bin/drive crowded-discovery "$here/record.txt"
