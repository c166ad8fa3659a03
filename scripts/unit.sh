#!/usr/bin/env bash
# Runs the tests of the given modules under the race detector. The entries of
# KNOWN-RED.txt are printed and their tests skipped; any other failure fails the run.
#
#   scripts/unit.sh MODULE...
set -u
cd "$(dirname "$0")/.."
known=""
if [ -s KNOWN-RED.txt ]; then
  known=$(sed -n 's/^test: *//p' KNOWN-RED.txt | paste -sd'|')
fi
skip=()
if [ -n "$known" ]; then
  echo "known failures from KNOWN-RED.txt, skipped:"
  cat KNOWN-RED.txt
  skip=(-skip "^($known)\$")
fi
readonly SEED=20261204      # of property tests; fixed, so that all runs draw the same cases

# Lists the packages of the current module whose external tests have imports that
# match the extended regular expression $1 and not $2.
packages_importing() {
  go list -f '{{.ImportPath}} {{join .XTestImports ","}}' ./... | grep -E "$1" | grep -vE "$2" | cut -d' ' -f1
}

readonly RAPID='pgregory.net/rapid'
readonly SYNCTEST='testing/synctest'
readonly NONE='^$'

# Runs the tests of the packages that packages_importing lists for $1 and $2, with
# the remaining arguments as flags.
test_packages() {
  local list
  list=$(packages_importing "$1" "$2")
  shift 2
  # shellcheck disable=SC2086
  [ -z "$list" ] || go test -race -count=1 -timeout 8m -json "${skip[@]}" $list "$@"
}

# Runs the tests of module $1. Packages with property tests get the fixed seed.
# Packages that use testing/synctest run on one processor, since timers run by
# several processors in one bubble crash the Go 1.26 runtime under the race detector.
test_module() {
  cd "$1" || return 1
  local code=0
  export CGO_ENABLED=1
  test_packages '' "$RAPID|$SYNCTEST" || code=1
  test_packages "$RAPID" "$SYNCTEST" -rapid.seed=$SEED -rapid.nofailfile || code=1
  test_packages "$SYNCTEST" "$RAPID" -cpu 1 || code=1
  test_packages "$RAPID.*$SYNCTEST|$SYNCTEST.*$RAPID" "$NONE" -cpu 1 -rapid.seed=$SEED -rapid.nofailfile || code=1
  return $code
}

passed=0
failed=0
for module in "$@"; do
  log=$(mktemp)
  (test_module "$module") >"$log" 2>&1
  code=$?
  p=$(grep '"Action":"pass"' "$log" | grep -c '"Test":')
  f=$(grep '"Action":"fail"' "$log" | grep -c '"Test":')
  if [ "$code" -ne 0 ]; then
    [ "$f" -gt 0 ] || f=1
    echo "property tests ran with -rapid.seed=$SEED"
    awk -f scripts/failures.awk "$log"
    grep -v '^{' "$log"
  fi
  echo "$module: $p passed, $f failed"
  passed=$((passed + p))
  failed=$((failed + f))
  rm -f "$log"
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
