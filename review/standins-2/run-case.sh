#!/bin/sh
# Runs one case: run-case.sh N. Exits with 1 where the rule was broken, 0 where it held, 2 where it could not run.
set -u
root="$(cd "$(dirname "$0")/../.." && pwd)"
case="$root/build/review-2/case$1"
FRONT_ROOT="$root"
FRONT_COMMAND="$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")"
export FRONT_ROOT FRONT_COMMAND
[ -x "$case" ] && [ -x "$root/build/snowshore" ] && [ -n "$FRONT_COMMAND" ] || {
  echo "the build of the deploy file or review/build-2.sh is missing"
  exit 2
}
folder="$(mktemp -d)" || exit 2
child=""
# However the script ends: the case first (its front ends end with it), then the folder.
finish() {
  if [ -n "$child" ]; then
    kill "$child" 2>/dev/null
    wait "$child" 2>/dev/null
  fi
  rm -rf "$folder"
}
trap finish EXIT
trap 'exit 2' HUP INT TERM
timeout -k 5 110 "$case" "$root/review/$1/record.txt" "$folder" &
child=$!
wait "$child"
result=$?
child=""
[ -z "${KEEP_LOG:-}" ] || cp "$folder/n0.log" "$KEEP_LOG"
[ "$result" -le 2 ] || result=2
exit "$result"
