#!/bin/sh
# Builds what the cases 11 to 15 start beside the project's own programs. Their
# stand-ins are Python modules in `review/rig3` that need the standard library
# only, so it is enough to see that they compile.
cd "$(dirname "$0")/.." || exit 2
python3 - review/rig3 review/1[1-5] <<'PY'
import pathlib
import sys

for folder in sys.argv[1:]:
    for path in sorted(pathlib.Path(folder).glob('*.py')):
        compile(path.read_bytes(), str(path), 'exec')
PY
