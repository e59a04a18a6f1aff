#!/usr/bin/env bash
# Plays the case with the project's daemons as processes. Exit code: 1 if the rule was broken, 0 if it
# held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
folder="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$folder/../.." && pwd)"
cd "$root" || exit 2
for program in target/mintpulley-relay target/review/standins; do
  [ -x "$program" ] || { echo "$program is missing: run the deploy file's build and review/build.sh first"; exit 2; }
done
exec target/review/standins -relay target/mintpulley-relay -record "$folder/record.txt" chain
