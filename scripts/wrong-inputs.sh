#!/usr/bin/env bash
# Gives invalid inputs to real processes and checks the exit codes, that no job was
# written to the platform's table, and that no target started anything.
set -u
cd "$(dirname "$0")/.."
. scripts/fleet.sh
trap fleet_stop EXIT
trap 'exit 130' INT TERM
passed=0
failed=0

# Runs a command and checks its exit code: expect NAME CODE COMMAND...
expect() {
  local name=$1 want=$2 got
  shift 2
  "$@" >"$work/out" 2>&1
  got=$?
  if [ "$got" -eq "$want" ]; then passed=$((passed + 1)); else failed=$((failed + 1)); fi
  printf '%-28s exit %d (expected %d)  %s\n' "$name" "$got" "$want" "$(head -n 1 "$work/out" | cut -c1-110)"
}

# Writes a job with the given JSON fields and tasks to the file that submit sends:
# write_job FIELDS TASKS
write_job() {
  printf '{"team":"crew","id":"wrong"%s,"tasks":[%s]}' "$1" "$2" >"$work/wrong.json"
}

submit() {
  "$bin/gypsumctl" -entry "${addr[entry-1]}" job submit "$work/wrong.json"
}

fleet_start || { echo "the entry instances are not ready"; exit 1; }
"$bin/gypsumctl" -entry "${addr[entry-1]}" settings set crew weight=2.0 >/dev/null
"$bin/gypsumctl" -entry "$entries" settings status -wait 10s >/dev/null
task='{"name":"a","kind":"k"}'

printf 'name = \n' >"$work/bad.toml"
expect "bad TOML" 2 "$bin/gypsumward" -check "$work/bad.toml"
{ cat "$work/entry-1.toml" | sed 's/^name/nmae/'; } >"$work/bad.toml"
expect "unknown key" 2 "$bin/gypsumward" -check "$work/bad.toml"
sed 's/^addr = .*/addr = "localhost:80"/' "$work/entry-1.toml" >"$work/bad.toml"
expect "address that is no number" 2 "$bin/gypsumward" -check "$work/bad.toml"
expect "good settings" 0 "$bin/gypsumward" -check "$work/entry-1.toml"
write_job '' "$task" && sed -i 's/"crew"/"choir"/' "$work/wrong.json"
expect "unknown team" 3 submit
write_job '' "$(for ((i = 0; i < 1200; i++)); do printf '{"name":"t%d","kind":"k"},' "$i"; done)$task"
expect "1,201 tasks" 3 submit
write_job ',"deadline":"-1s"' "$task"
expect "negative deadline" 3 submit
write_job '' "$task,$task"
expect "duplicate task name" 3 submit
printf '{"team":"crew","id":"a\\u0000b","tasks":[%s]}' "$task" >"$work/wrong.json"
expect "odd byte in id" 3 submit
printf '{"team":"crew","id":"wrong","tasks":[{"name":"a","kind":"k","input":"%s"}]}' "$(head -c 1200000 /dev/zero | tr '\0' x)" >"$work/wrong.json"
expect "input too large" 3 submit

"$bin/gypsumctl" -entry "${addr[entry-1]}" job show crew/wrong >"$work/out" 2>&1
case $? in
3) passed=$((passed + 1)) && echo "no job was written" ;;
*) failed=$((failed + 1)) && echo "a job was written: $(cat "$work/out")" ;;
esac
starts=$("$bin/standin" get -addr "$targets" -path /record | grep -c '"id"')
if [ "$starts" -eq 0 ]; then
  passed=$((passed + 1)) && echo "nothing was started"
else
  failed=$((failed + 1)) && echo "$starts targets started something"
fi
echo "$passed passed, $failed failed"
[ $failed -eq 0 ]
