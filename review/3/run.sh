#!/bin/sh
# Runs this case: exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0: no disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
RUN=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' "$root/deploy/balancer.toml")
program="$root/review/rig/bin/case-$(basename "$here")"
[ -n "$RUN" ] && [ -x "$program" ] && [ -x "$root/target/release/amberspindle" ] || { echo "not built"; exit 2; }
export RUN ROOT="$root" RECORD="$here/record.txt"
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
trap 'rm -rf "$TMPDIR"' EXIT
timeout -k 1 118 "$program"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
