"""Decides whether a generation is in force on every instance."""

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

STATUS_KIND = 'instancestatuses'
UNKNOWN_GENERATION = -1


class Report(NamedTuple):
    """What one instance says of itself."""

    instance: str
    data_centre: str
    generation: int
    reported_at: float  # seconds since the epoch
    problem: str = ''  # why there is no usable report


class Rollout(NamedTuple):
    """How far a generation has come."""

    generation: int
    in_force: tuple[Report, ...]
    behind: tuple[Report, ...]

    @property
    def everywhere(self) -> bool:
        """Whether it is in force on at least one instance and no other lags."""
        return bool(self.in_force) and not self.behind


def parse_report(instance: str, body: Mapping[str, Any]) -> Report:
    """Returns the report in a status document."""
    generation = body.get('generation')
    if not isinstance(generation, int):
        return missing_report(instance, 'the report names no generation')
    return Report(
        str(body.get('instance', instance)),
        str(body.get('data_centre', '')),
        generation,
        float(body.get('reported_at', 0)),
    )


def missing_report(instance: str, problem: str) -> Report:
    """Returns the report of an instance that gave none."""
    return Report(instance, '', UNKNOWN_GENERATION, 0, problem)


def stale_report(report: Report, now: float, max_age_s: float) -> Report:
    """Returns the report, marked as a problem when it is too old."""
    age_s = now - report.reported_at
    if report.problem or age_s <= max_age_s:
        return report
    return report._replace(problem=f'the report is {age_s:.0f} s old')


def judge(generation: int, reports: Iterable[Report]) -> Rollout:
    """Returns which instances run at least the generation."""
    ordered = sorted(reports)
    behind = tuple(
        report
        for report in ordered
        if report.problem or report.generation < generation
    )
    in_force = tuple(report for report in ordered if report not in behind)
    return Rollout(generation, in_force, behind)
