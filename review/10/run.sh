#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
here=review/10
[ -f target/gapproxy.jar ] && [ -f target/review-2/Rig.class ] || exit 2
timeout 115 java -Xmx768m -cp target/review-2 Case10 . "$here/record.txt"
code=$?
[ $code -le 1 ] || code=2
exit $code
