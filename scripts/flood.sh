#!/usr/bin/env bash
# Measures an overload by one team on real processes: for 10 s of 20 the team sends
# ten times its usual rate, while the rate of another team stays the same. All
# requests have a deadline of 3 s. Prints the results of the load, and the number of
# requests by team, state, reason and whether they ran. Requests that ran but were
# not answered in time are wasted starts.
#
#   scripts/flood.sh [SEED]
#
# Environment: CREW and QUOTES are the usual rates of the two teams in requests a
# second, URGENCY is the urgency of the flood, ONCE the fraction of requests that
# are not repeatable.
set -u
cd "$(dirname "$0")/.."
. scripts/fleet.sh

trap fleet_stop EXIT
trap 'exit 130' INT TERM

fleet_start || { echo "the entry instances are not ready"; exit 1; }
seed=${1:-1}
"$bin/standin" load -entry "$entries" -team "crew=${CREW:-30}/s" -team "quotes=${QUOTES:-20}/s" \
  -flood "crew,${URGENCY:-0},10,5s,10s" -once "${ONCE:-0}" -for 20s -deadline 3s -run 50ms..1s -seed "$seed" -log "$work/load.log"
echo "== requests by team and outcome"
grep -o '"team":"[a-z]*"\|"state":"[a-z]*"\|"reason":"[a-z]*"\|"ran":"[a-z]*"' "$work/load.log" |
  awk -F'"' '$2 == "team" { if (line) print line; line = "" } { line = line " " $4 } END { print line }' |
  sort | uniq -c
"$bin/standin" check -target "$targets" -log "$work/load.log"
