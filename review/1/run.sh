#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With
# TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")" || exit 2
TROUBLE="${TROUBLE:-1}" exec ../../target/review-standin -case 1 -program ../../target/chicoryturn -record record.txt
