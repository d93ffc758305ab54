#!/usr/bin/env bash
# Checks the stand-ins that the scripts of review/11 to review/15 start. They are Python programs, so nothing is
# compiled; the instances are built by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/standin-3/*.py review/1[1-5]/*.py; do
  [ -e "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
