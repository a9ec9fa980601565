"""Exchanges the withdrawals of endpoints' entries between instances."""

from collections.abc import Iterable

import structlog

from cactusledge.gateway.clock import now
from cactusledge.gateway.replicas import ReplicaList
from cactusledge.records.withdrawal_messages import Withdrawal
from cactusledge.telemetry.metrics import Metrics

log = structlog.get_logger('gateway')


class WithdrawalReports:
    """Implements `records.load_exchange.WithdrawalTracker`."""

    def __init__(self, replicas: ReplicaList, metrics: Metrics) -> None:
        """Stores the endpoints, and where withdrawals are counted."""
        self._replicas = replicas
        self._metrics = metrics

    def drain(self) -> list[Withdrawal]:
        """Returns and clears what was seen here since the last report."""
        return self._replicas.withdrawals.drain()

    def requeue(self, withdrawals: Iterable[Withdrawal]) -> None:
        """Queues withdrawals again whose report has failed."""
        self._replicas.withdrawals.requeue(withdrawals)

    def add_reported(self, reported: Iterable[Withdrawal]) -> None:
        """Stops sending to endpoints that other instances know to leave."""
        for withdrawal in reported:
            if self._replicas.withdraw(withdrawal):
                self._metrics.add('gateway_withdrawals_total')
                log.info('gateway: endpoint withdrawn', **withdrawal._asdict())

    def hear_platform(self, up_s: float) -> None:
        """Takes for how long the platform has answered a store, 0 if not."""
        self._replicas.hear_platform(up_s, now())
