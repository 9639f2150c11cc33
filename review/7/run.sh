#!/bin/sh
# 0: the rule held, 1: it was broken, 2: the case could not run. TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review-2/Case7.class ] && [ -f target/reedmux.jar ] || exit 2
exec java -cp target/review-2 Case7 review/7
