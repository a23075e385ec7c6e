#!/usr/bin/env bash
# Builds the stand-ins of the cases of review 3. They are all written in Python,
# with its standard library only: this checks that the interpreter is there and
# compiles each of them, and writes nothing.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PYTHON'
import glob

for path in ["tests/site_helper.py", "tests/fakes/site_stand_in.py", *sorted(glob.glob("review/kit-3/*.py")),
             *sorted(glob.glob("review/1[1-5]/*.py"))]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
    print("compiled", path)
PYTHON
