#!/bin/sh
# Builds what the scripts of the second review start. Their stand-ins are the
# file rig2/rig.py and need only the standard library, so that it is compiled.
cd "$(dirname "$0")" && exec python3 -m compileall -q rig2
