"""The roles in the deployment file; a process loads only its own."""

from collections.abc import Callable, Coroutine, Mapping
from importlib import import_module
from types import MappingProxyType
from typing import Any

from cactusledge.platform.settings import PlatformSettings

Role = Callable[[PlatformSettings], Coroutine[Any, Any, None]]

ROLES: Mapping[str, str] = MappingProxyType({
    'front': 'cactusledge.platform.front_role',
    'store': 'cactusledge.platform.store_role',
})


def load_role(role: str) -> Role:
    """Imports the modules of a role; returns what runs it."""
    run: Role = import_module(ROLES[role]).run
    return run
