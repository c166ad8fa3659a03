# Functions that start and stop a small system of separate processes: a platform,
# six runners and six workers of different speeds, and three entry instances in
# two data centres. To be sourced by other scripts. Processes are only ended by
# process id, never by name.
#
#   fleet_start                starts all and waits until the entry instances are ready
#   fleet_stop                 ends all processes and removes the working directory
#   fleet_start_entry NAME     starts an entry instance with its settings file
#   fleet_kill NAME            ends a process by SIGKILL
#   fleet_print_job TEAM ID N  prints a job of N tasks
#   pid[NAME], addr[NAME]      process id and HTTP address by name
#   $entries, $runners         addresses separated by commas
#   $targets                   addresses of runners and workers, separated by commas
#   $work                      working directory with settings, logs and outputs
#
# Environment: SPEEDS lists six speeds, of runners and workers 1 to 6. If KEEP is
# not empty, the working directory is kept.

bin=$(cd "$(dirname "${BASH_SOURCE[0]}")/../bin" && pwd)
work=""
port_lock=""
entries=""
targets=""
runners=""
declare -A pid addr

readonly PORTS_PER_FLEET=32  # ports reserved for one fleet
readonly FIRST_PORT=20000    # below the ephemeral port range
readonly PORT_BLOCKS=370
readonly READY_TIMEOUT=20s   # timeout of waits until processes are ready

# Reserves a block of ports that no other fleet on this machine uses. The directory
# $port_lock serves as the lock on the block; a block with a port in use is skipped.
fleet_reserve_ports() {
  local base port free
  while :; do
    base=$((FIRST_PORT + PORTS_PER_FLEET * (RANDOM % PORT_BLOCKS)))
    port_lock="${TMPDIR:-/tmp}/gypsumward-ports-$base"
    mkdir "$port_lock" 2>/dev/null || continue
    free=yes
    for ((port = base; port < base + PORTS_PER_FLEET; port++)); do
      if (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then free=no; fi
    done
    if [ $free = yes ]; then break; fi
    rmdir "$port_lock"
  done
  next_port=$base
}

# Sets addr[NAME] to the next address of the block: fleet_assign_addr NAME
fleet_assign_addr() {
  addr[$1]=127.0.0.1:$next_port
  next_port=$((next_port + 1))
}

# Starts a program in the background: fleet_start_process NAME PROGRAM ARGS...
fleet_start_process() {
  local name=$1
  shift
  "$bin/$1" "${@:2}" >>"$work/$name.log" 2>&1 &
  pid[$name]=$!
}

# Prints a member of the fleet file in TOML: fleet_print_member ID KIND CENTRE LINES...
fleet_print_member() {
  printf '[[members]]\nid = "%s"\nkind = "%s"\naddr = "%s"\ncentre = "%s"\n' "$1" "$2" "${addr[$1]}" "$3"
  shift 3
  printf '%s\n' "$@"
}

# Writes the settings file of an entry instance: fleet_write_settings NAME CENTRE
fleet_write_settings() {
  cat >"$work/$1.toml" <<END
name = "$1"
centre = "$2"
addr = "${addr[$1]}"
peer = "${addr[$1-peer]}"
platform = "${addr[platform]}"

[lease]
beat = "500ms"
lapse = "2s"
END
}

fleet_start() {
  local i centre speeds
  read -ra speeds <<<"${SPEEDS:-0.5 0.8 1 1.25 1.5 2}"
  work=$(mktemp -d)
  entries="" targets="" runners="" pid=() addr=()
  fleet_reserve_ports
  fleet_assign_addr platform
  for i in 1 2 3 4 5 6; do
    centre=$(fleet_centre "$i")
    fleet_assign_addr "runner-$i"
    fleet_assign_addr "worker-$i"
    fleet_print_member "runner-$i" runner "$centre" 'slots = 8' 'conns = 60'
    fleet_print_member "worker-$i" worker "$centre" 'cores = 32.0' "memory = $((128 << 30))" "rack = \"$centre-$((i % 2))\""
  done >"$work/fleet.toml"
  for i in 1 2 3; do
    fleet_assign_addr "entry-$i"
    fleet_assign_addr "entry-$i-peer"
    centre=$(fleet_centre "$((i * 2))")
    fleet_print_member "entry-$i" entry "$centre" "peer = \"${addr[entry-$i-peer]}\""
    fleet_write_settings "entry-$i" "$centre"
  done >>"$work/fleet.toml"

  fleet_start_process platform standin platform -addr "${addr[platform]}" -fleet "$work/fleet.toml"
  for i in 1 2 3 4 5 6; do
    fleet_start_process "runner-$i" standin runner -addr "${addr[runner-$i]}" -speed "${speeds[i - 1]}" -seed "$i"
    fleet_start_process "worker-$i" standin worker -addr "${addr[worker-$i]}" -speed "${speeds[i - 1]}" -seed "$i"
    runners+=${runners:+,}${addr[runner-$i]}
    targets+=${targets:+,}${addr[runner-$i]},${addr[worker-$i]}
  done
  "$bin/standin" get -addr "${addr[platform]},$targets" -wait "$READY_TIMEOUT" >/dev/null
  for i in 1 2 3; do
    fleet_start_entry "entry-$i"
    entries+=${entries:+,}${addr[entry-$i]}
  done
  "$bin/standin" get -addr "$entries" -path /ready -wait "$READY_TIMEOUT" >/dev/null && fleet_wait_live
}

# Polls, up to 100 times, until every entry instance reports all 15 members as live.
# The list of live members lags behind their start.
fleet_wait_live() {
  local i n
  for ((i = 0; i < 100; i++)); do
    n=$("$bin/standin" get -addr "$entries" -path /v1/status | grep -o '"state":"live"' | wc -l)
    if [ "$n" -ge $((3 * 15)) ]; then return 0; fi
    sleep 0.1
  done
  return 1
}

# Prints the data centre of target number $1: the first three are in como, the
# others in varese.
fleet_centre() {
  if [ "$1" -le 3 ]; then echo como; else echo varese; fi
}

fleet_start_entry() {
  fleet_start_process "$1" gypsumward -settings "$work/$1.toml"
}

fleet_kill() {
  kill -KILL "${pid[$1]}"
  wait "${pid[$1]}" 2>/dev/null
  unset "pid[$1]"
}

fleet_stop() {
  local name
  if [ -z "$work" ]; then return; fi
  for name in "${!pid[@]}"; do
    kill -CONT "${pid[$name]}" 2>/dev/null
    kill -KILL "${pid[$name]}" 2>/dev/null
  done
  wait "${pid[@]}" 2>/dev/null
  if [ -n "$port_lock" ]; then rmdir "$port_lock"; fi
  if [ -z "${KEEP:-}" ]; then rm -rf "$work"; else echo "logs are in $work"; fi
  work=""
  port_lock=""
}

# Prints a job of N tasks as JSON: fleet_print_job TEAM ID N
fleet_print_job() {
  local i kinds=(validate compute confirm price)
  printf '{"team":"%s","id":"%s","urgency":5,"deadline":"30s","tasks":[' "$1" "$2"
  for ((i = 0; i < $3; i++)); do
    if [ "$i" -gt 0 ]; then printf ','; fi
    printf '{"name":"t%d","kind":"%s","cores":1,"input":{"run":"%dms","name":"%s/%s/%d"}}' \
      "$i" "${kinds[i % 4]}" "$((200 + i * 37 % 1800))" "$1" "$2" "$i"
  done
  printf ']}\n'
}
