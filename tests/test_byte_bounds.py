"""Which bytes of an endpoint count as no part of an answer; no network."""

from cactusledge.gateway.byte_bounds import ByteBounds, ByteCount

BOUNDS = ByteBounds(framing=100, skipped=300)


def test_head_is_bounded():
    count = ByteCount(BOUNDS)
    assert count.add_received(100)
    assert not count.add_received(1)


def test_body_of_any_length_passes():
    count = ByteCount(BOUNDS)
    for _ in range(50):
        count.add_progress()
        assert count.add_received(100)


def test_framing_between_parts_of_a_body_is_bounded_in_a_row():
    count = ByteCount(BOUNDS)
    for _ in range(10):
        assert count.add_received(90)
        count.add_progress()
        assert count.add_received(90)


def test_skipped_answers_have_a_bound_of_their_own():
    count = ByteCount(BOUNDS)
    for _ in range(3):
        count.add_skipped()
        assert count.add_received(100)
    count.add_skipped()
    assert not count.add_received(1)


def test_next_request_starts_anew():
    count = ByteCount(BOUNDS)
    count.add_received(90)
    count.begin_request()
    assert count.add_received(90)
