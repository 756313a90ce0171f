#!/usr/bin/env bash
# Runs a case of the second review: run-case.sh CASE FOLDER. All processes that it starts are in
# one process group, which is killed at the end.
set -um
cd "$(dirname "$0")/../.."
standins=target/review-2/standins
for program in "$standins" target/release/jujubejunction target/release/jujube-agent; do
    [ -x "$program" ] || { echo "could not run: $program is not built"; exit 2; }
done
temporary=$(mktemp -d)
"$standins" "$1" "$PWD" "$PWD/$2" "$temporary" &
group=$!
finish() {
    kill -KILL -- "-$group" 2>/dev/null
    rm -rf "$temporary"
}
trap finish EXIT
trap 'exit 2' INT TERM
wait "$group"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
