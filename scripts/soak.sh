#!/usr/bin/env bash
# Runs the property tests of all modules with a random or given seed, which it
# prints, and a bounded number of test cases for each property; then a fiftieth of
# that number of plays of each scenario of core/resubmit. The tests in KNOWN-RED.txt are
# left out.
#
#   scripts/soak.sh [SEED [CHECKS]]     1000 checks by default
set -eu
cd "$(dirname "$0")/.."
seed=${1:-$RANDOM$RANDOM}
checks=${2:-1000}
echo "seed $seed, $checks checks"
skip=()
if [ -s KNOWN-RED.txt ]; then
  skip=(-skip "^($(sed -n 's/^test: *//p' KNOWN-RED.txt | paste -sd'|'))\$")
fi
for module in core gypsumward gypsumctl standin; do
  packages=$(cd "$module" && go list -f '{{range .XTestImports}}{{if eq . "pgregory.net/rapid"}}{{$.ImportPath}}{{end}}{{end}}' ./... | grep . || true)
  if [ -n "$packages" ]; then
    # shellcheck disable=SC2086
    (cd "$module" && go test -count=1 -timeout 20m "${skip[@]}" $packages -rapid.seed="$seed" -rapid.checks="$checks" -rapid.nofailfile)
  fi
done
(cd core && go test -count=1 -timeout 20m ./resubmit -resubmit.seed="$seed" -resubmit.plays="$((checks / 50 + 1))")
