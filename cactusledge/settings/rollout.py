"""Decides whether a generation is in force on every instance."""

from collections.abc import Iterable
from typing import NamedTuple, NotRequired, TypedDict

import msgspec

STATUS_KIND = 'instancestatuses'
UNKNOWN_GENERATION = -1


class StatusBody(TypedDict):
    """The configuration fields of an instance's status document."""

    generation: int
    instance: NotRequired[str]
    data_centre: NotRequired[str]
    reported_at: NotRequired[float]  # seconds since the epoch
    peers: NotRequired[str]  # peer address, host:port


class Report(NamedTuple):
    """The status that one instance reported."""

    instance: str
    data_centre: str
    generation: int
    reported_at: float  # seconds since the epoch
    problem: str = ''  # why there is no usable report


class Rollout(NamedTuple):
    """Which instances run a generation and which are behind."""

    generation: int
    in_force: tuple[Report, ...]
    behind: tuple[Report, ...]

    @property
    def everywhere(self) -> bool:
        """Whether at least one instance runs it and none is behind."""
        return bool(self.in_force) and not self.behind


def parse_report(instance: str, document: object) -> Report:
    """Parses the report from a status document."""
    try:
        body = msgspec.convert(document, StatusBody)
    except msgspec.ValidationError as exc:
        return missing_report(instance, f'its report is not valid: {exc}')
    return Report(
        body.get('instance', instance),
        body.get('data_centre', ''),
        body['generation'],
        body.get('reported_at', 0),
    )


def missing_report(instance: str, problem: str) -> Report:
    """Returns a placeholder for an instance without a usable report."""
    return Report(instance, '', UNKNOWN_GENERATION, 0, problem)


def mark_if_stale(report: Report, now: float, max_age_s: float) -> Report:
    """Returns the report, marked with a problem if it is too old."""
    age_s = now - report.reported_at
    if report.problem or age_s <= max_age_s:
        return report
    return report._replace(problem=f'the report is {age_s:.0f} s old')


def assess_rollout(generation: int, reports: Iterable[Report]) -> Rollout:
    """Sorts instances by whether they run at least the generation."""
    ordered = sorted(reports)
    behind = tuple(
        report
        for report in ordered
        if report.problem or report.generation < generation
    )
    in_force = tuple(report for report in ordered if report not in behind)
    return Rollout(generation, in_force, behind)
