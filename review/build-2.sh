#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10.  They need nothing but
# the standard library of Python 3.11, so building them is compiling them.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'EOF'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 is needed")
sources = sorted(pathlib.Path("review/standins-2").glob("*.py"))
for number in range(6, 11):
    sources += sorted(pathlib.Path("review", str(number)).glob("*.py"))
for source in sources:
    compile(source.read_text(encoding="utf-8"), str(source), "exec")
print(f"{len(sources)} files compiled")
EOF
