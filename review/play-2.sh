#!/bin/bash
# Plays a case in the folder of its script: play-2.sh FOLDER CASE. Exits with 1 if the rule was broken, 0 if it held,
# 2 if the case could not run.
cd "$(dirname "$0")/.." || exit 2
RUN_COMMAND=$(sed -n 's/^run *= *"\([^"]*\)".*/\1/p' deploy/balancer.toml)
export RUN_COMMAND
[ -n "$RUN_COMMAND" ] && [ -x target/review-2/cases ] || { echo "build first: the deploy file's build, review/build-2.sh"; exit 2; }
timeout -k 5 118 target/review-2/cases "$2" "$1/record.txt"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
