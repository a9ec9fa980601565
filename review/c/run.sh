#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
PYTHONPATH=review exec python3 -B "$here/case.py"
