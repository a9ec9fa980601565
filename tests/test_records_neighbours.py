"""What a gateway is told of the others, however many there are.

The full list, sent to each gateway by every store, grew with the square of the
fleet.
"""

import pytest

from cactusledge.records.entries import Member
from cactusledge.records.gateway_messages import Hello
from cactusledge.records.neighbours import MAX_NEIGHBOURS, choose_neighbours

DATA_CENTRES = 6


def gateways(count):
    """Returns gateways spread evenly over data centres."""
    return {
        f'front-{index}': Member(f'h:{index}', f'dc-{index % DATA_CENTRES}')
        for index in range(count)
    }


HELLO = Hello('front-x', Member('h:1', 'dc-0'))


@pytest.mark.parametrize('count', [30, 171, 1000])
def test_number_of_neighbours_does_not_grow_with_the_fleet(count):
    told = choose_neighbours(HELLO, gateways(count))
    local = [found for found in told.values() if found.data_centre == 'dc-0']
    assert len(local) <= MAX_NEIGHBOURS
    assert len(told) <= 2 * MAX_NEIGHBOURS
    assert local


def test_all_are_told_in_a_small_fleet():
    known = gateways(8)
    assert choose_neighbours(HELLO, known) == known


def test_each_gateway_is_told_of_different_ones():
    known = gateways(171)
    told = set()
    for name, gateway in known.items():
        told.update(choose_neighbours(Hello(name, gateway), known))
    assert told == known.keys()
