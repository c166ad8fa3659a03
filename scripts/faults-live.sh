#!/usr/bin/env bash
# Runs fault cases on real processes, one after the other, each on a new system:
#
#   kill      the owner of a job gets SIGKILL while its tasks run
#   pause     the owner of a job gets SIGSTOP, and SIGCONT after its lease has expired
#   outage    the platform is down for 30 s while jobs and requests are sent
#   stop      each entry instance in turn gets SIGTERM under load and is restarted
#   churn     each entry instance in turn gets SIGKILL under load and is restarted
#   mixed     targets and platform have one fault after the other under load
#
# A case passes if every accepted job ends complete or failed, all remaining
# instances give the same answer, and the targets' own records show no second start
# and no start of work that was refused as not run. In the case stop, moreover, no
# work fails and no outcome is unknown. Prints the result of each case; exits with 1
# if one fails.
#
#   scripts/faults-live.sh [CASE...]     all cases by default
set -u
cd "$(dirname "$0")/.."
. scripts/fleet.sh

readonly TASKS=200
readonly ANSWER_TIMEOUT=60s   # longest wait for the answer to a job
readonly AFTER=${AFTER:-1.5}  # seconds from submitting a job to the fault
readonly PAUSE_SECONDS=8      # longer than the lease of an instance
readonly OUTAGE_SECONDS=30
failures=0                    # failed checks of the current case

trap 'kill $(jobs -p) 2>/dev/null; fleet_stop' EXIT
trap 'exit 130' INT TERM

fail() {
  failures=$((failures + 1))
  echo "  WRONG: $*"
}

# Submits a job in the background and stores its answer and exit code: submit ID ENTRIES
submit() {
  fleet_print_job crew "$1" $TASKS >"$work/$1.json"
  {
    "$bin/gypsumctl" -entry "$2" -json job submit -wait $ANSWER_TIMEOUT "$work/$1.json" >"$work/$1.out" 2>"$work/$1.err"
    echo $? >"$work/$1.code"
  } &
  senders+=($!)
}

# Sends repeatable requests in the background: start_requests DURATION
start_requests() {
  "$bin/standin" load -entry "$entries" -team crew=10/s -for "$1" -run 50ms..300ms -deadline 5s \
    -json -log "$work/load.log" >"$work/load.json" 2>"$work/load.err" &
  senders+=($!)
}

# Checks that all given instances give the same final answer for a job:
# check_same_answer ID INSTANCES...
check_same_answer() {
  local id=$1 name first="" answer
  shift
  for name in "$@"; do
    "$bin/gypsumctl" -entry "${addr[$name]}" -json job show -wait 20s "crew/$id" >"$work/$id.$name" 2>"$work/$id.$name.err"
    answer=$(tr -d '\n' <"$work/$id.$name" | sed 's/": */":/g')
    first=${first:-$answer}
    if [ "$answer" != "$first" ]; then fail "job $id has a different answer at $name: $answer $(cat "$work/$id.$name.err")"; fi
  done
  check_answer "$id" "$first"
}

# Checks that a job's answer is complete with all results, or failed without
# results: check_answer ID ANSWER
check_answer() {
  local id=$1 answer=$2 i missing=0
  case $answer in
  *'"state":"complete"'*)
    for ((i = 0; i < TASKS; i++)); do
      [[ $answer == *"\"name\":\"crew/$id/$i\""* ]] || missing=$((missing + 1))
    done
    if [ $missing -gt 0 ]; then fail "job $id is complete, but $missing results are missing"; fi
    echo "  job $id: complete, $TASKS results"
    ;;
  *'"state":"failed"'*)
    if [[ $answer == *'"results"'* ]]; then fail "job $id failed, but has results"; fi
    echo "  job $id: failed, $(grep -o '"reason":.*' <<<"$answer")"
    ;;
  *) fail "job $id has no final answer: $answer" ;;
  esac
}

# Checks the targets' records of starts, together with the log of the load if there
# was one.
check_records() {
  local log=()
  if [ -f "$work/load.log" ]; then
    log=(-log "$work/load.log")
    if [ -s "$work/load.err" ]; then fail "the load reported: $(cat "$work/load.err")"; fi
    echo "  requests: $(grep -c '"state":"complete"' "$work/load.log") of $(wc -l <"$work/load.log") complete"
  fi
  "$bin/standin" check -target "$targets" ${log[@]+"${log[@]}"} >"$work/check" || fail "$(cat "$work/check")"
  sed 's/^/  /' "$work/check"
}

case_kill() {
  submit kill "$entries"
  sleep "$AFTER"
  fleet_kill entry-1
  wait "${senders[@]}"
  check_same_answer kill entry-2 entry-3
  check_records
}

case_pause() {
  submit pause "${addr[entry-1]},${addr[entry-2]},${addr[entry-3]}"
  sleep "$AFTER"
  kill -STOP "${pid[entry-1]}"
  sleep $PAUSE_SECONDS
  kill -CONT "${pid[entry-1]}"
  wait "${senders[@]}"
  check_same_answer pause entry-2 entry-3 entry-1
  check_records
}

case_outage() {
  start_requests "$((OUTAGE_SECONDS + 5))s"
  submit before "$entries"
  sleep "$AFTER"
  "$bin/standin" fault -addr "${addr[platform]}" -name down
  sleep 2
  submit during "${addr[entry-2]},${addr[entry-3]}"
  sleep $((OUTAGE_SECONDS - 2))
  "$bin/standin" fault -addr "${addr[platform]}" -name down -off
  wait "${senders[@]}"
  check_same_answer before entry-1 entry-2 entry-3
  check_during
  check_records
  local complete
  complete=$(grep -c '"state":"complete"' "$work/load.log")
  if [ "$complete" -lt $((OUTAGE_SECONDS * 10 * 9 / 10)) ]; then fail "only $complete repeatable requests completed during the outage"; fi
}

# Checks the job submitted during the outage: it is either refused as not run and
# never started, or accepted and then ends with one final answer at all instances.
check_during() {
  if [ "$(cat "$work/during.code")" = 3 ]; then
    echo "  job during: refused as not run"
    if "$bin/standin" get -addr "$targets" -path /record | grep -qF '"crew/during/'; then fail "the job was refused as not run, but was started"; fi
  else
    check_same_answer during entry-1 entry-2 entry-3
  fi
}

# Sends requests of two teams, 30 % of them not repeatable, and jobs in the
# background: start_mixed_load DURATION
start_mixed_load() {
  "$bin/standin" load -entry "$entries" -team crew=60/s -team quotes=30/s -job crew=0.5/s -tasks 60 -once 0.3 \
    -for "$1" -deadline 8s -run 50ms..400ms -seed 11 -log "$work/load.log" >"$work/load.table" 2>"$work/load.err" &
  senders+=($!)
}

# Waits for the end of the load and checks that every call got an answer, and the
# targets' records.
check_mixed_load() {
  wait "${senders[@]}"
  sed 's/^/  /' "$work/load.table"
  local unanswered
  unanswered=$(grep -c '"state":"open"' "$work/load.log")
  if [ "$unanswered" -gt 0 ]; then fail "$unanswered calls got no answer: $(grep -m 3 '"state":"open"' "$work/load.log")"; fi
  check_records
}

case_stop() {
  local name unexpected
  start_mixed_load 30s
  for name in entry-1 entry-2 entry-3; do
    sleep 4
    kill -TERM "${pid[$name]}"
    wait "${pid[$name]}" || fail "$name ended with exit code $? after SIGTERM"
    fleet_start_entry "$name"
    "$bin/standin" get -addr "${addr[$name]}" -path /ready -wait "$READY_TIMEOUT" >/dev/null || fail "$name is not ready again"
  done
  check_mixed_load
  unexpected=$(grep -v '"state":"complete"' "$work/load.log" | grep -vc '"ran":"notrun"')
  if [ "$unexpected" -gt 0 ]; then
    fail "$unexpected calls failed or ended unknown: $(grep -v '"state":"complete"' "$work/load.log" | grep -v -m 3 '"ran":"notrun"')"
  fi
}

case_churn() {
  local name
  start_mixed_load 30s
  for name in entry-1 entry-2 entry-3; do
    sleep 4
    fleet_kill "$name"
    sleep 1
    fleet_start_entry "$name"
    "$bin/standin" get -addr "${addr[$name]}" -path /ready -wait "$READY_TIMEOUT" >/dev/null || fail "$name is not ready again"
  done
  check_mixed_load
}

# Switches a fault of the named processes on for some seconds, by standin fault:
# inject_for SECONDS NAMES... -- ARGS...
inject_for() {
  local seconds=$1 list="" name
  shift
  while [ "$1" != -- ]; do
    list+=${list:+,}${addr[$1]}
    shift
  done
  shift
  "$bin/standin" fault -addr "$list" "$@" || fail "fault could not be switched on: $*"
  sleep "$seconds"
  "$bin/standin" fault -addr "$list" "$@" -off || fail "fault could not be switched off: $*"
}

case_mixed() {
  start_mixed_load 40s
  sleep 2
  inject_for 3 runner-1 worker-1 -- -name mixup
  inject_for 3 runner-2 -- -name lost -value 20
  inject_for 3 worker-2 -- -name lost -value 3 -path /start
  inject_for 3 platform -- -name lost -value 3 -path /table/write
  inject_for 3 runner-3 -- -name truncate -value 20
  inject_for 3 worker-3 -- -name truncate -value 3 -path /watch
  inject_for 5 runner-4 worker-4 -- -name hang
  inject_for 3 runner-5 worker-5 -- -name failing
  inject_for 3 runner-6 worker-6 -- -name leaving
  inject_for 4 platform -- -name freeze
  inject_for 4 platform -- -name slow -value 300ms
  check_mixed_load
}

# Runs a case on a new system and counts it as passed or failed: run_case NAME
run_case() {
  failures=0
  senders=()
  echo "case $1"
  fleet_start || fail "the entry instances are not ready: $(tail -n 3 "$work"/entry-*.log)"
  if [ $failures -eq 0 ]; then "case_$1"; fi
  fleet_stop
  if [ $failures -eq 0 ]; then
    echo "case $1: passed"
    passed=$((passed + 1))
  else
    echo "case $1: failed"
    failed=$((failed + 1))
  fi
}

passed=0
failed=0
if [ $# -eq 0 ]; then set -- kill pause outage stop churn mixed; fi
for name in "$@"; do run_case "$name"; done
echo "$passed passed, $failed failed"
[ $failed -eq 0 ]
