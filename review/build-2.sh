#!/usr/bin/env bash
# The stand-ins of this review's scripts are Python and need no compiler: checks
# that they, and those of the project that they use, can be read.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - review/lib-2/*.py review/[0-9]*/case.py tests/site_helper.py tests/fakes/site_stand_in.py <<'PY'
import ast, glob, sys
for pattern in sys.argv[1:]:
    for path in glob.glob(pattern):
        ast.parse(open(path, encoding="utf-8").read(), path)
PY
