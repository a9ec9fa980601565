"""Which requests of the own interface are refused when bodies are large."""

import pytest

from cactusledge.api.body_memory import BodiesTooLargeError, BodyMemory

MOST = 1000  # bytes


# The newest caller was refused for what others held.
def test_small_body_is_read_beside_large_ones():
    memory = BodyMemory(MOST)
    with memory.holding() as large, memory.holding() as small:
        large.add(990)
        with pytest.raises(BodiesTooLargeError):
            large.add(20)
        small.add(50)
        with pytest.raises(BodiesTooLargeError):
            small.add(900)


# What an ended request held was never given back.
def test_ended_request_holds_nothing():
    memory = BodyMemory(MOST)
    for _ in range(3):
        with memory.holding() as held:
            held.add(MOST)


# A refusal must say that the request has not run, and when to come back.
def test_refusal_says_that_the_request_has_not_run():
    refused = pytest.raises(BodiesTooLargeError)
    with BodyMemory(MOST).holding() as held, refused as caught:
        held.add(MOST + 1)
    assert str(caught.value.outcome) == 'NOT_RUN'
    assert caught.value.retry_after_s
