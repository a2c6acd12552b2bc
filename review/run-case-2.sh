#!/usr/bin/env bash
# Runs the stand-ins of a case beside one daemon, started with the command of the deploy file.
# usage: review/run-case-2.sh N; exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
set -u
n=$1
cd "$(dirname "$0")/.." || exit 2
export TROUBLE="${TROUBLE:-1}"
case_program=target/review-2/case-$n daemon=target/release/cornelferryd
[ -x "$case_program" ] && [ -x "$daemon" ] || { echo "build first: deploy file, review/build-2.sh"; exit 2; }
dir=$(mktemp -d)
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null; done
  sleep 0.2
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$dir"
}
trap stop_all EXIT
trap 'exit 2' INT TERM
timeout -k 1 115 "$case_program" "$dir" "review/$n/record.txt" & stand_in=$!
pids+=("$stand_in")
for _ in $(seq 100); do [ -f "$dir/boot.json" ] && break; sleep 0.1; done
"$daemon" --settings "$dir/boot.json" > "$dir/log" 2>&1 & pids+=($!)
wait "$stand_in"; code=$?
case $code in 0|1) exit $code ;; *) exit 2 ;; esac
