#!/usr/bin/env bash
# Checks the boundary around platform/: no other Go file holds the platform's names,
# and platform/ decides nothing: no timers, no retries, no queues.
set -u
cd "$(dirname "$0")/.."
readonly NAMES='rows-tx|rows-get|rows-feed|run-start|run-stop|/api/hold|machine-move|machine-upkeep|X-Duty-Holder|X-Expect-Instance|GYPSUMWARD_BOOT|acked_through|last_checkpoint|fencing_token|path_prefix|preemptible|estimate_ms|mem_mb'
readonly DECIDES='time\.(Sleep|After|AfterFunc|NewTimer|NewTicker|Tick)\b|\bgo func|\bmake\(chan|sync\.(Mutex|RWMutex|Cond)|for \{'
code=0
if found=$(grep -rnE "$NAMES" --include='*.go' . | grep -v '^\./platform/'); then
  echo "names of the platform outside platform/:" >&2
  echo "$found" >&2
  code=1
fi
if found=$(grep -nE "$DECIDES" platform/*.go | grep -v '_test\.go:'); then
  echo "platform/ has a timer, a goroutine, a queue, a lock or an endless loop:" >&2
  echo "$found" >&2
  code=1
fi
[ "$code" -ne 0 ] || echo "boundary of platform/: kept"
exit "$code"
