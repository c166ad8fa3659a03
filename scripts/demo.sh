#!/usr/bin/env bash
# Demonstrates the whole system: a job of 200 tasks and 50 requests are sent to three
# entry instances, one of which is killed and one stopped while work is in flight.
# Exits with 1 if an answer is missing, partial or that of another request, if the
# targets' own records show that something was started twice, or if something
# refused as not run was started.
set -u
cd "$(dirname "$0")/.."
. scripts/fleet.sh

readonly TASKS=200
readonly REQUESTS=50
readonly NON_REPEATABLE=20    # number of requests that are not repeatable
readonly ANSWER_TIMEOUT=40s   # longest wait for the answer to the job
failures=0                    # failed checks

heading() { printf '\n== %s\n' "$*"; }
fail() {
  failures=$((failures + 1))
  echo "WRONG: $*"
}
trap fleet_stop EXIT
trap 'exit 130' INT TERM

# Sends request number $1 and stores its answer and exit code. The instance that is
# tried first differs from one request to the next.
send_request() {
  local i=$1 id="r$1" repeatable=true instances=(1 2 3 1 2)
  if [ "$i" -le $NON_REPEATABLE ]; then id="once-$i" repeatable=false; fi
  local start=$((i % 3)) order
  order=("${instances[@]:start:3}")
  printf '{"team":"crew","id":"%s","kind":"price","repeatable":%s,"deadline":"10s","input":{"run":"%dms","name":"%s"}}' \
    "$id" "$repeatable" "$((50 + i * 17 % 450))" "$id" >"$work/$id.json"
  "$bin/gypsumctl" -entry "${addr[entry-${order[0]}]},${addr[entry-${order[1]}]},${addr[entry-${order[2]}]}" -json \
    request send "$work/$id.json" >"$work/$id.out" 2>"$work/$id.err"
  echo $? >"$work/$id.code"
}

# Checks the answer to request $1. A request that is not repeatable may end unknown
# if its entry instance was killed while the request was in flight.
check_request() {
  local id=$1 code
  code=$(cat "$work/$id.code")
  codes[$code]=$((${codes[$code]:-0} + 1))
  case $code in
  0) tr -d ' \n' <"$work/$id.out" | grep -q "\"name\":\"$id\"" || fail "request $id got the answer to another request" ;;
  3) refused+=("crew/$id/") ;;
  4) case $id in once-*) ;; *) fail "repeatable request $id ended unknown: $(cat "$work/$id.err")" ;; esac ;;
  *) fail "request $id ended with exit code $code: $(cat "$work/$id.err")" ;;
  esac
}

# Checks that the job is complete with all its results, or failed without results.
check_job() {
  local answer i missing=0
  answer=$(tr -d ' \n' <"$work/job.out")
  case $answer in
  *'"state":"complete"'*)
    for ((i = 0; i < TASKS; i++)); do
      [[ $answer == *"\"name\":\"crew/gala-1/$i\""* ]] || missing=$((missing + 1))
    done
    if [ $missing -gt 0 ]; then fail "the job is complete, but $missing of its results are missing"; fi
    ;;
  *'"state":"failed"'*) if [[ $answer == *'"results"'* ]]; then fail "the job failed, but has results"; fi ;;
  *) fail "the job has no final answer: $(cat "$work/job.err")" ;;
  esac
}

heading "starting a platform, 6 runners, 6 workers and 3 entry instances in como and varese"
fleet_start || { tail -n 5 "$work"/entry-*.log; fail "the entry instances are not ready"; exit 1; }
"$bin/gypsumctl" -entry "$entries" instances

heading "submitting a job of $TASKS tasks and $REQUESTS requests"
fleet_print_job crew gala-1 $TASKS >"$work/job.json"
{
  "$bin/gypsumctl" -entry "$entries" -json job submit -wait $ANSWER_TIMEOUT "$work/job.json" >"$work/job.out" 2>"$work/job.err"
  echo $? >"$work/job.code"
} &
senders=($!)
for ((i = 1; i <= REQUESTS; i++)); do
  send_request "$i" &
  senders+=($!)
  sleep 0.04
  case $i in
  10) echo "SIGKILL to entry-1, which owns the job" && fleet_kill entry-1 ;;
  30) echo "SIGTERM to entry-2" && kill -TERM "${pid[entry-2]}" ;;
  esac
done
wait "${senders[@]}"
wait "${pid[entry-2]}" || fail "entry-2 ended with exit code $? after SIGTERM"
unset "pid[entry-2]"

heading "answers"
declare -A codes
refused=()
check_job
"$bin/gypsumctl" -entry "${addr[entry-3]}" -json job show crew/gala-1 >"$work/show.out"
cmp -s "$work/job.out" "$work/show.out" || fail "entry-3 gives a different answer for the job"
"$bin/gypsumctl" -entry "${addr[entry-3]}" job show -results 5 crew/gala-1
for ((i = 1; i <= REQUESTS; i++)); do
  if [ "$i" -le $NON_REPEATABLE ]; then check_request "once-$i"; else check_request "r$i"; fi
done
echo "requests: ${codes[0]:-0} complete, ${codes[3]:-0} refused as not run, ${codes[4]:-0} unknown, ${codes[1]:-0} failed"
for id in once-1 r21 r50; do echo "$id: $(tr -d ' \n' <"$work/$id.out")"; done

heading "starts recorded by the targets"
"$bin/standin" check -target "$targets" || fail "something was started twice"
for id in ${refused[@]+"${refused[@]}"}; do
  if "$bin/standin" get -addr "$targets" -path /record | grep -qF "\"$id"; then fail "$id was refused as not run, but was started"; fi
done

heading "time line of the job"
"$bin/gypsumctl" -entry "${addr[entry-3]}" timeline -job crew/gala-1 >"$work/timeline" || fail "the time line is not available"
head -n 60 "$work/timeline"
echo "($(wc -l <"$work/timeline") lines)"

if [ $failures -gt 0 ]; then
  heading "$failures checks failed"
  exit 1
fi
heading "all checks passed"
