"""What a platform adapter provides to run a record store."""

from pathlib import Path
from typing import NamedTuple

from cactusledge.models import Address
from cactusledge.objects.store import ObjectStore
from cactusledge.records.retirement import RetirementRequest
from cactusledge.records.room_account import StoreLimits
from cactusledge.records.store_watches import GatewayKinds


class StoreSetup(NamedTuple):
    """The place of a store, its limits, and what it reaches."""

    instance: str
    data_centre: str
    address: Address
    folder: Path
    is_first_start: bool  # of the whole system: empty disks are as expected
    copies: int  # disks holding each text: one more than may be lost
    objects: ObjectStore
    retirement: RetirementRequest
    metrics: Address
    gateway_kinds: GatewayKinds
    limits: StoreLimits  # of the machine
