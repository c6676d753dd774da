#!/bin/bash
# play.sh NAME FOLDER: plays one case and ends what it started. Exit codes: 1 the rule was broken, 0 it held, 2 the
# case could not run.
set -u
name=$1
folder=$(cd "$2" && pwd)
root=$(cd "$(dirname "$0")/.." && pwd)
bash "$root/review/build.sh" || exit 2
[ -x "$root/target/release/kestreltide" ] || { echo "build the router first: cargo build --release" >&2; exit 2; }

# Everything that the case writes beside its record, and the process ids of the routers that it starts.
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
export REVIEW_PIDS=$TMPDIR/pids
: >"$REVIEW_PIDS"
case_pid=
end_all() {
    [ -n "$case_pid" ] && kill -TERM "$case_pid" 2>/dev/null && wait "$case_pid"
    while read -r pid; do
        [ "$(cat "/proc/$pid/comm" 2>/dev/null)" = kestreltide ] && kill -KILL "$pid" 2>/dev/null
    done <"$REVIEW_PIDS"
    rm -rf "$TMPDIR"
}
trap end_all EXIT
trap 'exit 2' INT TERM HUP

timeout -k 2 110 "$root/review/bin/review-case" "$name" "$root" "$folder" &
case_pid=$!
wait "$case_pid"
code=$?
case_pid=
case $code in
    0 | 1) exit "$code" ;;
    *) exit 2 ;;
esac
