#!/bin/bash
# Plays a case in the folder of its script: play-2.sh FOLDER CASE. Exits with 1 if the rule was broken, 0 if it held,
# 2 if the case could not run.
cd "$(dirname "$0")/.." || exit 2
RUN_COMMAND=$(sed -n 's/^run *= *"\([^"]*\)".*/\1/p' deploy/balancer.toml)
export RUN_COMMAND
if [ -z "$RUN_COMMAND" ] || [ ! -x target/review-2/cases ] || [ ! -x target/release/kestreltide ]; then
    echo "build first: the build of deploy/balancer.toml, then review/build-2.sh" >&2
    exit 2
fi

# All that the case writes beside its record, and the ids of the routers that it starts.
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
export REVIEW_PIDS=$TMPDIR/pids
: > "$REVIEW_PIDS"
player=
end_all() {
    [ -n "$player" ] && kill -KILL "$player" 2> /dev/null
    while read -r pid; do
        [ "$(cat "/proc/$pid/comm" 2> /dev/null)" = kestreltide ] && kill -KILL "$pid" 2> /dev/null
    done < "$REVIEW_PIDS"
    rm -rf "$TMPDIR"
}
trap end_all EXIT
trap 'exit 2' INT TERM HUP

# The player ends by itself after 116 s at the latest.
target/review-2/cases "$2" "$1/record.txt" &
player=$!
wait "$player"
code=$?
player=
[ "$code" -le 1 ] && exit "$code"
exit 2
