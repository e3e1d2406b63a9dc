#!/usr/bin/env bash
# Builds the stand-ins of the scripts; they need Python's standard library only.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins review/*/scenario.py
