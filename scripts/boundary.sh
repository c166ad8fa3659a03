#!/usr/bin/env bash
# Checks the boundary of platform/: its names appear in no other Go file, and it
# makes no decisions of its own, so it has no timers, retries or queues.
set -u
cd "$(dirname "$0")/.."
readonly PLATFORM_NAMES='rows-tx|rows-get|rows-feed|run-start|run-stop|/api/hold|machine-move|machine-upkeep|X-Duty-Holder|X-Expect-Instance|GYPSUMWARD_BOOT|acked_through|last_checkpoint|fencing_token|path_prefix|preemptible|estimate_ms|mem_mb|op/evacuate|"evacuate/|cold_remaining_ms|evacuate_ms'
readonly LOGIC='time\.(Sleep|After|AfterFunc|NewTimer|NewTicker|Tick)\b|\bgo func|\bmake\(chan|sync\.(Mutex|RWMutex|Cond)|for \{'
code=0
if found=$(grep -rnE "$PLATFORM_NAMES" --include='*.go' . | grep -v '^\./platform/'); then
  echo "names of the platform outside platform/:" >&2
  echo "$found" >&2
  code=1
fi
if found=$(grep -nE "$LOGIC" platform/*.go | grep -v '_test\.go:'); then
  echo "platform/ has a timer, a goroutine, a queue, a lock or an endless loop:" >&2
  echo "$found" >&2
  code=1
fi
[ "$code" -ne 0 ] || echo "boundary of platform/: kept"
exit "$code"
