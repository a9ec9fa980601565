#!/bin/sh
# The stand-ins are plain Python of the standard library: nothing to compile.
# This checks that they can be read by the interpreter of the deploy file.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here" || exit 1
exec python3 -B - <<'PY'
import ast
import pathlib

for path in sorted(pathlib.Path().rglob('*.py')):
    ast.parse(path.read_text('utf-8'), str(path))
PY
