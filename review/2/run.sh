#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
case_folder=$(cd "$(dirname "$0")" && pwd)
cd "$case_folder/../.." || exit 2
program=target/review/case$(basename "$case_folder")
[ -x "$program" ] && [ -x target/bin/endivejunction ] || exit 2
folder=$(mktemp -d) || exit 2
RECORD=$case_folder/record.txt timeout -k 5 118 "$program" "$folder" "${TROUBLE:-1}"
result=$?
rm -rf "$folder"
[ "$result" -le 1 ] || result=2
exit "$result"
