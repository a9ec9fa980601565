"""Runs one role on the users' platform: `cactusledge.platform ROLE`."""

import gc
import os
import sys
from importlib import import_module

from cactusledge.platform.early_signals import take_early_signals

if __name__ == '__main__':
    take_early_signals()
    gc.disable()  # until the role has been loaded
    main = import_module('cactusledge.platform.process').main
    status = main(sys.argv[1] if len(sys.argv) > 1 else '')
    sys.stdout.flush()
    # Exits at once: threads of watchers may still wait for the platform.
    os._exit(status)
