#!/usr/bin/env bash
# Measures one daemon in a process of its own, with stand-ins in another process.
set -euo pipefail
cd "$(dirname "$0")/.."
python=.venv/bin/python
folder=$(mktemp -d)
pids=()
finish() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  rm -rf "$folder"
}
trap finish EXIT

start() { # number of groups
  rm -f "$folder"/*
  $python -m bench.backend "$folder" --groups "$1" & backend=$!
  pids+=("$backend")
  for _ in $(seq 100); do [ -f "$folder/ready" ] && break; sleep 0.1; done
  $python -m cardamomdrift.daemon --settings "$folder/vm-1.jsonc" & daemon=$!
  pids+=("$daemon")
  sleep 3
}
stop() {
  kill "$daemon"; wait "$daemon" || true
  kill "$backend"; wait "$backend" 2>/dev/null || true
}

echo "### Cost of a statement"; echo
start 1
$python -m bench.probe cost "$folder" "$daemon" --backend "$backend"
echo; echo "### Memory of a caller connection"; echo
$python -m bench.probe connections "$folder" "$daemon"
stop
echo; echo "### An idle daemon by number of groups"; echo
echo "| groups | core min | core median | core max | MB | platform reads/s | writes/s | bytes/s |"
echo "| --- | --- | --- | --- | --- | --- | --- | --- |"
for groups in 1 8 32; do
  start "$groups"
  $python -m bench.probe idle "$folder" "$daemon" --groups "$groups"
  stop
done
echo; echo "### Messages"; echo
$python -m bench.messages
