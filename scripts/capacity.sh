#!/usr/bin/env bash
# Measures the costs per unit of load in docs/CAPACITY.md on real processes:
# processor time and memory of the entry instances, and writes to the platform, at
# rising rates of requests and of jobs. The system has 3 entry instances, 6 runners
# and 6 workers.
#
#   scripts/capacity.sh
set -u
cd "$(dirname "$0")/.."
export SPEEDS="1 1 1 1 1 1"
. scripts/fleet.sh

readonly LOAD_SECONDS=8    # length of each load

trap fleet_stop EXIT
trap 'exit 130' INT TERM

# Prints the processor time (user and system) of all entry instances, in clock ticks.
cpu_ticks() {
  local i sum=0 fields
  for i in 1 2 3; do
    read -ra fields <"/proc/${pid[entry-$i]}/stat"
    sum=$((sum + fields[13] + fields[14]))
  done
  echo $sum
}

# Prints the largest resident set size of an entry instance, in MiB.
max_rss_mb() {
  local i max=0 kb
  for i in 1 2 3; do
    kb=$(sed -n 's/^VmRSS:[^0-9]*\([0-9]*\).*/\1/p' "/proc/${pid[entry-$i]}/status")
    if [ "$kb" -gt "$max" ]; then max=$kb; fi
  done
  echo $((max / 1024))
}

# Prints a counter of the platform: platform_count transactions|rows
platform_count() {
  "$bin/standin" get -addr "${addr[platform]}" -path /count | grep -o "\"$1\": *[0-9]*" | grep -o '[0-9]*$'
}

# Runs a load of UNITS requests or tasks and prints its costs on one line, and the
# first line of the load's output that holds the word complete:
# measure_load NAME UNITS ARGS...
measure_load() {
  local name=$1 units=$2 ticks0 transactions0 rows0 hz
  shift 2
  hz=$(getconf CLK_TCK)
  ticks0=$(cpu_ticks) transactions0=$(platform_count transactions) rows0=$(platform_count rows)
  "$bin/standin" load -entry "$entries" -for "${LOAD_SECONDS}s" -deadline 8s "$@" >"$work/load.out" 2>&1
  awk -v n="$name" -v u="$units" -v t="$(($(cpu_ticks) - ticks0))" -v hz="$hz" -v m="$(max_rss_mb)" \
    -v w="$(($(platform_count transactions) - transactions0))" -v r="$(($(platform_count rows) - rows0))" -v s="$LOAD_SECONDS" \
    'BEGIN { printf "%-26s %8d units  %7.3f ms cpu/unit  %5d MB  %6.1f tx/s  %6.1f rows/s\n", n, u, t / hz * 1000 / u, m, w / s, r / s }'
  grep -i complete "$work/load.out" | head -n 1
}

fleet_start || { echo "the entry instances are not ready"; exit 1; }
measure_load idle 1 -team crew=0.1/s -run 10ms
for rate in 50 200 800; do
  measure_load "requests $rate/s" $((rate * LOAD_SECONDS)) -team "crew=$rate/s" -run 10ms -seed "$rate"
done
for rate in 50 200; do
  measure_load "once only $rate/s" $((rate * LOAD_SECONDS)) -team "crew=$rate/s" -run 10ms -once 1 -seed "$rate"
done
for rate in 2 8 24; do
  measure_load "jobs of 50 at $rate/s" $((rate * 50 * LOAD_SECONDS)) -team crew=0.01/s -job "crew=$rate/s" -tasks 50 -run 20ms -seed "$rate"
done
