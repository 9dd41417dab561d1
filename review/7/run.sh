#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
for program in target/dragonflygrade target/review-2; do
	if [ ! -x "$program" ]; then
		echo "$program is missing: build as deploy/system.toml says, then review/build-2.sh"
		exit 2
	fi
done
exec target/review-2 -case leave -program target/dragonflygrade -record review/7/record.txt
