#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
here=$(dirname "$(readlink -f "$0")")
cd "$here/../.." || exit 2
home=$(bin/find-jdk) || exit 2
if [ ! -x target/runtime/bin/java ] || [ ! -f target/review-3/Case.class ]; then
  echo "error: run deploy/build and review/build-3.sh first" >&2
  exit 2
fi
RECORD="$here/record.txt" "$home/bin/java" -cp target/review-3 WrongPart
code=$?
tail -n 1 "$here/record.txt" | grep -q "exit $code:" || exit 2
exit $code
