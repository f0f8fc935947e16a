#!/bin/bash
# Runs the case beside this script; see claim.txt. Exit codes: 1 the rule was broken, 0 it held, 2 it couldn't run.
folder=$(cd "$(dirname "$0")" && pwd)
case=$folder/../../target/review-2/case-$(basename "$folder")
[ -x "$case" ] || { echo "review/build-2.sh has not been run" >&2; exit 2; }
ulimit -n 4096 2>/dev/null
CASE_TMP=$(mktemp -d) || exit 2
export CASE_TMP
cd "$folder" || exit 2
"$case" "$folder/record.txt"
code=$?
rm -rf "$CASE_TMP"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
