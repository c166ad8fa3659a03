#!/usr/bin/env bash
# Checks that each program in bin/ is dynamically linked to the C library:
# libc.sh PROGRAM...
set -eu
cd "$(dirname "$0")/.."
for program in "$@"; do
  ldd "bin/$program" | grep -q 'libc\.so' || { echo "bin/$program is not linked to libc" >&2; exit 1; }
  echo "bin/$program: linked to libc"
done
