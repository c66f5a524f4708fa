#!/bin/sh
# Prepares what the scripts of the review start besides the programs of the deploy
# file. Their stand-ins, the project's own in tests/process too, are Python and
# need no compiler; this checks that they can be loaded.
set -eu
cd "$(dirname "$0")/.."
test -x target/bin/savorystream || {
  echo "build the deploy file first: target/bin/savorystream is missing" >&2
  exit 1
}
exec python3 -B -c '
import ast, sys
for path in sys.argv[1:]:
    ast.parse(open(path, encoding="utf-8").read(), path)
sys.path[:0] = ["review/lib", "tests/process"]
import harness
' review/lib/harness.py review/*/case.py tests/process/fleet_platform.py
