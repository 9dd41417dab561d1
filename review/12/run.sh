#!/bin/sh
# Exits with 1 if an acknowledged commit is not in the log of the upstream that is promoted.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/dragonflygrade ] && [ -x target/review-3 ] || exit 2
exec target/review-3 draining-replica target/dragonflygrade review/12/record.txt
