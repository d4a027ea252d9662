#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/gapproxy.jar ] && [ -f target/review/SendAndGo.class ] || exit 2
exec java -Xmx512m -cp target/review SendAndGo review/5
