#!/bin/sh
# Exits with 1 if an acknowledged commit is not in the log of the upstream that is promoted, with 0
# if all are, and with 2 if the case could not run.
# TROUBLE=0 plays the case without the disruption: it drains the replica only. TROUBLE=crash
# also crashes the primary, while all replicas receive.
cd "$(dirname "$0")/../.." || exit 2
trouble=${TROUBLE:-1}
case $trouble in
0 | 1 | crash) ;;
*) echo "TROUBLE=$trouble is not known" >&2; exit 2 ;;
esac
[ -x target/dragonflygrade ] && [ -x target/review-3 ] || exit 2
exec target/review-3 draining-replica "$trouble" target/dragonflygrade review/12/record.txt
