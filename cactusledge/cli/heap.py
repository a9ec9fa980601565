"""Lets all threads of a process share one heap of the C library."""

import ctypes

ARENA_MAX = -8  # M_ARENA_MAX of glibc's mallopt


def share_heap() -> None:
    """Has new threads allocate from one heap; without glibc nothing happens.

    Otherwise each thread keeps what it has freed, and many threads that read
    large bodies keep many times what these take.
    """
    mallopt = getattr(ctypes.CDLL(None), 'mallopt', None)
    if mallopt is not None:
        mallopt(ARENA_MAX, 1)
