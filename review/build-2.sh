#!/usr/bin/env bash
# Prepares the stand-ins of the cases 6 to 10. They are Python scripts that use the standard library
# only, so there is nothing to compile: this checks that the interpreter reads them, and that the
# program of the deploy file was built.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - review/standin-2/*.py review/{6,7,8,9,10}/case.py <<'P'
import ast, pathlib, sys
assert sys.version_info >= (3, 11), "Python 3.11 or newer is needed (tomllib)"
for name in sys.argv[1:]:
    path = pathlib.Path(name)
    if path.exists():
        ast.parse(path.read_text(), name)
P
test -x target/daemon/wigeonlaned || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
