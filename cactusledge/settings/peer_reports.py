"""Finds the peer addresses of instances in their status reports."""

from typing import TYPE_CHECKING

import msgspec

from cactusledge.models import Address
from cactusledge.settings.rollout import STATUS_KIND, StatusBody
from cactusledge.settings.strict import parse_address

if TYPE_CHECKING:
    from cactusledge.objects.store import ObjectStore

MAX_REPORT_AGE_S = 120.0


def reported_peer_addresses(
    store: 'ObjectStore',
    instance: str,
    now_s: float,
) -> tuple[Address, ...]:
    """Returns the peer addresses that the other instances last reported.

    Args:
        store: The platform.
        instance: Name of this instance, which is left out.
        now_s: The current time; outdated reports are left out.
    """
    found = store.list(STATUS_KIND).items
    return tuple(
        parse_address(address)
        for status in found
        if status.name != instance
        for address in _fresh_address(status.body, now_s)
    )


def _fresh_address(document: object, now_s: float) -> tuple[str, ...]:
    """Returns a report's address; none if it is outdated or not valid."""
    try:
        body = msgspec.convert(document, StatusBody)
    except msgspec.ValidationError:
        return ()
    is_fresh = now_s - body.get('reported_at', 0) <= MAX_REPORT_AGE_S
    address = body.get('peers', '')
    return (address,) if is_fresh and address else ()
