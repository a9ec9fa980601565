"""Builds and runs a record store on the users' platform."""

from pathlib import Path

from cactusledge.models import Address
from cactusledge.objects.store import StoredObject
from cactusledge.platform.documents import is_ending
from cactusledge.platform.kinds import (
    CONFIGURATION_KIND,
    ENDPOINT_KIND,
    RETIREMENT_KIND,
)
from cactusledge.platform.objects import PlatformObjects
from cactusledge.platform.settings import (
    METRICS_PORT,
    PlatformSettings,
    settings_error,
)
from cactusledge.records.app import StoreApplication
from cactusledge.records.room_account import StoreLimits
from cactusledge.records.store_setup import StoreSetup
from cactusledge.records.store_watches import GatewayKinds


class PlatformRetirement:
    """Requests to drain a store; for `records.retirement.RetirementRequest`."""

    kind = RETIREMENT_KIND

    def __init__(self, objects: PlatformObjects, instance: str) -> None:
        """Stores the object client and the name of this instance."""
        self._objects = objects
        self._instance = instance

    def is_requested(self, stored: StoredObject) -> bool:
        """Returns whether an object requests to drain this store."""
        return stored.name == self._instance

    def report(self, *, is_done: bool) -> None:
        """Writes the progress to the status of the request object."""
        state = 'done' if is_done else 'running'
        self._objects.put_status(
            RETIREMENT_KIND, self._instance, {'state': state}
        )


async def run(settings: PlatformSettings) -> None:
    """Runs a record store."""
    folder = settings.data_folder
    if folder is None:
        raise settings_error('data_dir', 'data_dir is missing.')
    objects = PlatformObjects(settings.platform_address)
    setup = StoreSetup(
        instance=settings.instance,
        data_centre=settings.data_centre,
        address=Address(settings.host, settings.peer_port),
        folder=Path(folder),
        is_first_start=settings.is_first_start,
        copies=settings.tolerated_losses + 1,
        objects=objects,
        retirement=PlatformRetirement(objects, settings.instance),
        metrics=Address(settings.host, METRICS_PORT),
        gateway_kinds=GatewayKinds(
            CONFIGURATION_KIND, ENDPOINT_KIND, is_ending
        ),
        limits=StoreLimits(settings.memory_mb, settings.disk_mb),
    )
    await StoreApplication(setup).run()
