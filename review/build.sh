#!/bin/sh
# Builds what the scripts of this review start beside the program of the deploy
# file. All stand-ins are Python programs, so there is nothing to compile; this
# checks that they can be read.
set -eu
cd "$(dirname "$0")/.."
for file in tests/fakes/site_stand_in.py review/lib/small_site.py review/[1-5]/case.py; do
  [ ! -e "$file" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
