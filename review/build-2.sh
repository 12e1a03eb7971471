#!/bin/sh
# Builds the programs of the scripts review/4 to review/8 into target/review-2.
# They need a C compiler and its library only.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
common="review/standin-2/site.c review/standin-2/engine.c"
for n in 4 5 6 7 8; do
	# shellcheck disable=SC2086
	${CC:-cc} -std=gnu11 -O1 -Wall -pthread -o "$out/case-$n" \
		"review/$n/case.c" $common
done
