#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python scripts, so this
# checks that the interpreter is there and reads all of them.
set -eu
cd "$(dirname "$0")/.."
python3 - tests/process/fleet_platform.py review/lib-2/*.py \
  review/[6-9]/*.py <<'PYTHON'
import sys

if sys.version_info < (3, 11):
    sys.exit("python3 is older than 3.11, which reads the deploy file")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PYTHON
