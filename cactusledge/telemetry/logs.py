"""Structured logs; each event text is prefixed with its component."""

import logging
from collections.abc import Callable, Mapping, MutableMapping
from types import MappingProxyType
from typing import Any, TextIO, cast

import structlog

from cactusledge.telemetry.log_writer import LogWriter

PREFIX_KEY = 'part'
LEVELS: Mapping[str, int] = MappingProxyType({
    'debug': logging.DEBUG,
    'info': logging.INFO,
    'warning': logging.WARNING,
    'error': logging.ERROR,
})

Event = MutableMapping[str, Any]


def configure_logs(
    stream: TextIO | LogWriter,
    *,
    log_format: str,
    level: str,
    instance: str = '',
    data_centre: str = '',
) -> None:
    """Writes the logs of all components to a stream."""
    identity = {'instance': instance, 'data_centre': data_centre}
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            _IdentityProcessor(identity),
            _prefix_event,
            _RENDERERS[log_format](),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        logger_factory=structlog.PrintLoggerFactory(cast('TextIO', stream)),
        cache_logger_on_first_use=False,
    )


def get_logger(part: str) -> Any:
    """Returns a logger that prefixes its event texts with `part`."""
    return structlog.get_logger(**{PREFIX_KEY: part})


class _IdentityProcessor:
    """Adds the instance and the data centre to each event."""

    def __init__(self, identity: Mapping[str, str]) -> None:
        self._identity = {
            name: known for name, known in identity.items() if known
        }

    def __call__(self, logger: Any, method: str, event: Event) -> Event:
        return {**self._identity, **event}


def _prefix_event(logger: Any, method: str, event: Event) -> Event:
    part = event.pop(PREFIX_KEY, '')
    if part:
        event['event'] = f'{part}: {event["event"]}'
    return event


def _json_renderer() -> Any:
    return structlog.processors.JSONRenderer(sort_keys=True, default=str)


def _console_renderer() -> Any:
    return structlog.dev.ConsoleRenderer(colors=False)


_RENDERERS: Mapping[str, Callable[[], Any]] = MappingProxyType({
    'json': _json_renderer,
    'console': _console_renderer,
})
