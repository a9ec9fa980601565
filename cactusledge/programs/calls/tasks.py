"""Blocking tasks that a driver submits to the worker pool."""

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple, Protocol

import pykka

from cactusledge.models import CallSpec
from cactusledge.programs.calls.stream import CallStream
from cactusledge.programs.journal.sink import RecordSink
from cactusledge.protocol.state import ProgramState
from cactusledge.settings.configuration import Configuration, Program

Headers = Mapping[str, str]  # HTTP headers of a request to an endpoint


class CallTask(NamedTuple):
    """A call to be sent to an endpoint."""

    spec: CallSpec
    state: ProgramState  # before the call
    program: Program
    stream: CallStream
    intent: Any  # pykka future that resolves once the intent is durable
    driver: pykka.ActorRef[Any]
    deadline_s: float  # monotonic
    traceparent: str = ''


class ReleaseTask(NamedTuple):
    """A program's cache that an engine must release."""

    program_id: str
    endpoint: str
    driver: pykka.ActorRef[Any]


class DriverWork(Protocol):
    """Runs the blocking tasks of a driver."""

    def run_call(self, task: CallTask) -> None:
        """Sends the call in a worker, which reports with `Finish`."""

    def release_cache(self, task: ReleaseTask) -> None:
        """Releases a cache in a worker, which reports with `Released`."""

    def continue_program(self, program_id: str, program: Program) -> None:
        """Asks the program's service to continue the program."""


class DriverContext(NamedTuple):
    """Dependencies of a driver."""

    log: str
    sink: RecordSink
    work: DriverWork
    config: Callable[[], Configuration]
    now_s: Callable[[], float]
