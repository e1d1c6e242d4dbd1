#!/bin/sh
# Case 5. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
# Needs the build of the deploy file and review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review-2/lab-2 ] && [ -x target/release/mintlb ] && [ -x target/release/mintlb-control ] || exit 2
exec target/review-2/lab-2 uncounted "$here/record.txt"
