#!/usr/bin/env bash
# Measures the latency that entry instances add to direct calls of runners: the same
# requests are sent to 6 runners of equal speed, directly and through the entry
# instances, at rising rates. Prints the response time less the run time, in
# milliseconds.
#
#   scripts/measure.sh [RATE...]     requests a second
set -u
cd "$(dirname "$0")/.."
export SPEEDS="1 1 1 1 1 1"
. scripts/fleet.sh

readonly RUN=${RUN:-10ms}  # run time of each request
readonly FOR=${FOR:-10s}   # length of each load

trap fleet_stop EXIT
trap 'exit 130' INT TERM

fleet_start || { echo "the entry instances are not ready"; exit 1; }
before=$("$bin/standin" get -addr "${addr[platform]}" -path /count)
seed=0
if [ $# -eq 0 ]; then set -- 50 200 500 1000; fi
for rate in "$@"; do
  for subcommand in direct load; do
    seed=$((seed + 1))
    case $subcommand in
    direct) address=(-target "$runners") ;;
    load) address=(-entry "$entries") ;;
    esac
    echo "== $subcommand, $rate/s of $RUN for $FOR, seed $seed"
    "$bin/standin" $subcommand "${address[@]}" -team "crew=$rate/s" -for "$FOR" -run "$RUN" -deadline 2s -seed $seed
  done
done
echo "== platform before and after"
echo "$before"
"$bin/standin" get -addr "${addr[platform]}" -path /count
"$bin/standin" check -target "$targets"
