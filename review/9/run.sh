#!/bin/sh
# Runs the case. Ends with 0 if the rule held, 1 if it was broken, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
here=$(cd "$(dirname "$0")" && pwd)
n=$(basename "$here")
cd "$here/../.." || exit 2
program=target/review-2/case-$n
[ -x "$program" ] && [ -x target/release/amberspindle ] || exit 2
RECORD="$here/record.txt" timeout -k 5 110 "$program"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
