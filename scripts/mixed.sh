#!/usr/bin/env bash
# Runs instances of two builds side by side: mixed.sh OLD, where OLD is the program
# gypsumward of an older build, and bin/gypsumward is the new one.
#
# Three old instances finish one job and start a second one. The owner of the second job is
# killed and replaced by a new instance, which is killed while it owns a third job. In
# between, settings are changed through one build and read through the other. Exits with 0
# if all three jobs have the same complete answer at instances of both builds, all requests
# are answered, and no target recorded a second start; otherwise with 1. AFTER sets the
# time from submitting a job to killing its owner.
set -u
cd "$(dirname "$0")/.."
old=$(realpath "${1:?the gypsumward program of the older build}")
. scripts/fleet.sh

readonly TASKS=200
readonly WAIT=60s          # for the answer to a job
readonly AFTER=${AFTER:-1.5}   # seconds from submitting a job to the kill
failures=0                 # failed checks
build=$old                 # program that fleet_start_entry starts
trap 'kill $(jobs -p) 2>/dev/null; fleet_stop' EXIT
trap 'exit 130' INT TERM

wrong() {
  failures=$((failures + 1))
  echo "WRONG: $*"
}

# Starts an entry instance of the build in $build. Overrides the function of fleet.sh.
fleet_start_entry() {
  "$build" -settings "$work/$1.toml" >>"$work/$1.log" 2>&1 &
  pid[$1]=$!
}

# Submits a job in the background: submit ID ENTRIES
submit() {
  fleet_print_job crew "$1" $TASKS >"$work/$1.json"
  "$bin/gypsumctl" -entry "$2" -json job submit -wait $WAIT "$work/$1.json" >"$work/$1.out" 2>"$work/$1.err" &
  sent+=($!)
}

# Compares the answers to a job at some instances: same ID NAME...
same() {
  local id=$1 name first="" answer i
  shift
  for name in "$@"; do
    answer=$("$bin/gypsumctl" -entry "${addr[$name]}" -json job show -wait 30s "crew/$id" 2>/dev/null | tr -d ' \n')
    first=${first:-$answer}
    [ "$answer" = "$first" ] || wrong "job $id has another answer at $name: $answer, not $first"
  done
  case $first in
  *'"state":"complete"'*)
    for ((i = 0; i < TASKS; i++)); do
      [[ $first == *"\"name\":\"crew/$id/$i\""* ]] || wrong "job $id is complete, but lacks result $i"
    done
    echo "job $id: complete, the same at $*"
    ;;
  *'"state":"failed"'*)
    if [[ $first == *'"results"'* ]]; then wrong "job $id failed and has results"; fi
    echo "job $id: failed, the same at $*: $(grep -o '"reason":[^,}]*' <<<"$first")"
    ;;
  *) wrong "job $id has no final answer: $first" ;;
  esac
}

# Kills an instance and starts it again with the build in $build.
replace() {
  fleet_kill "$1"
  fleet_start_entry "$1"
  "$bin/standin" get -addr "${addr[$1]}" -path /ready -wait "$READY_TIMEOUT" >/dev/null || wrong "$1 is not ready"
}

# Changes a setting through one instance and reads it through another: settings WRITER READER WEIGHT
settings() {
  "$bin/gypsumctl" -entry "${addr[$1]}" settings set crew "weight=$3" >"$work/set.out" 2>&1 || wrong "settings at $1: $(cat "$work/set.out")"
  "$bin/gypsumctl" -entry "${addr[$2]}" settings status -wait 10s >"$work/status.out" 2>&1 || wrong "settings status: $(cat "$work/status.out")"
  "$bin/gypsumctl" -entry "${addr[$2]}" settings get crew 2>&1 | grep -q "weight.*$3" || wrong "$2 does not show weight $3"
}

fleet_start || { echo "the entry instances are not ready"; exit 1; }
sent=()
settings entry-1 entry-2 2.5
submit finished "$entries"
wait "${sent[@]}"
sent=()
"$bin/standin" load -entry "$entries" -team crew=10/s -for 20s -run 50ms..300ms -deadline 5s \
  -json -log "$work/load.log" >"$work/load.json" 2>"$work/load.err" &
sent+=($!)
submit old-owner "${addr[entry-1]}"
sleep "$AFTER"
build=$bin/gypsumward
replace entry-1
settings entry-1 entry-2 1.5
submit new-owner "${addr[entry-1]}"
sleep "$AFTER"
fleet_kill entry-1
settings entry-2 entry-3 3.5
replace entry-3
fleet_start_entry entry-1
"$bin/standin" get -addr "$entries" -path /ready -wait "$READY_TIMEOUT" >/dev/null || wrong "an instance is not ready"
wait "${sent[@]}"
for id in finished old-owner new-owner; do same $id entry-1 entry-2 entry-3; done
if [ -s "$work/load.err" ]; then wrong "the load: $(cat "$work/load.err")"; fi
echo "requests: $(grep -c '"state":"complete"' "$work/load.log") of $(wc -l <"$work/load.log") complete"
"$bin/standin" check -target "$targets" -log "$work/load.log" || wrong "something was started twice"
if grep -hE 'event=badrow|unreadable|cannot be read' "$work"/entry-*.log; then wrong "a row or message was not understood"; fi
[ $failures -eq 0 ] && echo "all checks passed"
