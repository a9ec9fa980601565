"""What is counted of a run, and the figures made of it."""

import statistics
from typing import NamedTuple

from benchmarks.fake_engines import Counters
from benchmarks.policy_cases import ARRIVALS_S, WARM_UP_S
from benchmarks.workloads import Program


class Figures(NamedTuple):
    """One cell of the table."""

    p50: float  # multiples of the unobstructed chain
    p95: float
    p99: float
    p95_all: float  # the same, with lost programs counted at their deadline
    recomputed: float  # part of the tokens that some engine had
    held_mega_token_s: float  # for ended programs
    goodput: float  # programs a second, within their deadline
    finished: float  # part of the programs
    refusals: int
    refusal_p99_s: float


class Tally:
    """Counts of one run; runs of other seeds are added."""

    def __init__(self) -> None:
        """Starts at zero."""
        self.multiples: list[float] = []
        self.lost_multiples: list[float] = []
        self.refusals_s: list[float] = []
        self.engines = Counters()
        self.runs = 1

    def finished(self, program: Program, now: float) -> None:
        """Counts a program that ended within its deadline."""
        if program.arrives_s >= WARM_UP_S:
            elapsed_s = now - program.arrives_s
            self.multiples.append(elapsed_s / program.chain_s)

    def lost(self, program: Program) -> None:
        """Counts a program that was given up."""
        if program.arrives_s >= WARM_UP_S:
            allowed_s = program.deadline_s - program.arrives_s
            self.lost_multiples.append(allowed_s / program.chain_s)

    def refused(self, answered_s: float) -> None:
        """Counts a refusal and how long it took."""
        self.refusals_s.append(answered_s)

    def add_engine(self, counters: Counters) -> None:
        """Adds an engine's counts."""
        self.engines.reusable += counters.reusable
        self.engines.recomputed += counters.recomputed
        self.engines.held_token_s += counters.held_token_s

    def add(self, other: 'Tally') -> None:
        """Adds the run of another seed."""
        self.multiples.extend(other.multiples)
        self.lost_multiples.extend(other.lost_multiples)
        self.refusals_s.extend(other.refusals_s)
        self.add_engine(other.engines)
        self.runs += other.runs

    def figures(self) -> Figures:
        """Returns the figures of all runs."""
        done = len(self.multiples)
        everyone = self.multiples + self.lost_multiples
        measured_s = (ARRIVALS_S - WARM_UP_S) * self.runs
        return Figures(
            p50=_percentile(self.multiples, 50),
            p95=_percentile(self.multiples, 95),
            p99=_percentile(self.multiples, 99),
            p95_all=_percentile(everyone, 95),
            recomputed=self.engines.recomputed / max(1, self.engines.reusable),
            held_mega_token_s=self.engines.held_token_s / 1e6 / self.runs,
            goodput=done / measured_s,
            finished=done / max(1, len(everyone)),
            refusals=len(self.refusals_s) // self.runs,
            refusal_p99_s=_percentile(self.refusals_s, 99),
        )


def _percentile(samples: list[float], percent: int) -> float:
    if len(samples) < 2:
        return sum(samples)
    cuts = statistics.quantiles(samples, n=100, method='inclusive')
    return cuts[percent - 1]
