#!/usr/bin/env bash
# Starts the one file that ships and shows that it stays one process.
set -eu
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
export PEX_ROOT="$folder/pex"
dist/mulberrypaddle check examples/kryss/settings.yaml
dist/mulberrypaddle standin object-api >"$folder/out" 2>"$folder/err" &
pid=$!
for _ in $(seq 100); do
  grep -q 'listening on' "$folder/out" && break
  sleep 0.1
done
grep 'listening on' "$folder/out"
children=$(cat "/proc/$pid/task/$pid/children")
kill "$pid"
wait "$pid"
if [ -n "$children" ]; then
  echo "the one file started processes: $children" >&2
  exit 1
fi
echo "the one file ran as one process and ended with status 0"
