#!/usr/bin/env bash
# A checker's leave is acknowledged, all processes are killed at once; the leave is forgotten.
# Exit code: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves the disruption out.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -e target/reedmux.jar ] && [ -e target/review/LeaveThenKill.class ] || { echo "build first: deploy/system.toml, then review/build.sh"; exit 2; }
exec java -Xmx1g -cp target/review LeaveThenKill "$here"
