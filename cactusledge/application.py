"""Starts and stops the components of an instance."""

import threading
import time
from collections.abc import Mapping
from typing import Any

import pykka

from cactusledge.assembly.api import build_api
from cactusledge.assembly.base import build_base
from cactusledge.assembly.peers import build_membership, build_peers
from cactusledge.assembly.programs import build_programs
from cactusledge.assembly.routing import build_routing
from cactusledge.environment import Environment
from cactusledge.errors import CactusledgeError, ErrorCode
from cactusledge.peers.rendezvous import owner
from cactusledge.programs.logs.claims import ClaimGate
from cactusledge.settings.sections import InstanceSettings
from cactusledge.telemetry.logs import get_logger

TICK_INTERVAL_S = 0.5
STOP_TIMEOUT_S = 5.0

log = get_logger('entry')


class ListenError(CactusledgeError):
    """An address in the settings cannot be listened on."""

    code = ErrorCode.INVALID_SETTINGS


class Application:
    """Owns all components of an entry instance."""

    def __init__(self, settings: InstanceSettings, env: Environment) -> None:
        """Builds the components without starting them."""
        self._settings = settings
        self._base = build_base(settings, env)
        membership, peer_directory = build_membership(self._base)
        self._routing = build_routing(self._base, peer_directory)
        self._programs = build_programs(
            self._base,
            self._routing,
            peer_directory,
            owner,
        )
        self._peers = build_peers(
            self._base,
            self._routing,
            self._programs,
            peer_directory,
            membership,
        )
        self._api = build_api(self._base, self._programs.router, self)
        self._ready = threading.Event()
        self._stopping = threading.Event()
        self._claim_gate = ClaimGate(
            settings.peers.heartbeat_interval_s,
            has_seeds=bool(settings.peers.seeds),
        )
        self._programs.logs.announce = self._peers.announce
        self._timer = threading.Thread(target=self._run_timer, daemon=True)

    def start(self) -> None:
        """Starts all components; `is_ready` tells when requests may arrive."""
        self._base.config.start()
        try:
            self._peers.start()
            self._api.start()
        except OSError as exc:
            pykka.ActorRegistry.stop_all(timeout=STOP_TIMEOUT_S)
            self._base.stop()
            raise _listen_error(exc) from exc
        self._routing.start()
        self._timer.start()
        log.info('Started.', api=str(self._settings.listen.api))

    def stop(self) -> int:
        """Shuts down gracefully; returns the number of calls cut off.

        The API keeps serving until the load balancer has noticed that this
        instance is not ready; calls of its programs are then forwarded to the
        new owners of their logs. One deadline covers both the running calls
        and the open API requests.
        """
        log.info('Stopping.')
        self._ready.clear()
        shutdown = self._settings.shutdown
        time.sleep(shutdown.balancer_grace_s)
        self._peers.leave()
        deadline_s = time.monotonic() + shutdown.drain_timeout_s
        cut_calls = self._programs.logs.drain(deadline_s)
        self._peers.tick()
        self._api.stop(max(0, deadline_s - time.monotonic()))
        self._stopping.set()
        self._timer.join(STOP_TIMEOUT_S)
        self._stop_parts()
        log.info('Stopped.', calls_cut=cut_calls)
        return cut_calls

    def is_ready(self) -> bool:
        """Returns whether the load balancer should send requests here."""
        return self._ready.is_set() and not self._programs.unowned_logs()

    def status(self) -> Mapping[str, Any]:
        """Returns the document of `GET /status`."""
        return {
            'instance': self._base.name,
            'data_centre': self._base.data_centre,
            'ready': self.is_ready(),
            'generation': self._base.config.current().generation,
            'logs': list(self._programs.table.names()),
            'peers': [
                peer.name
                for peer in self._peers.peer_directory.other_instances()
            ],
            'endpoints': [
                {
                    'name': endpoint.name,
                    'service': endpoint.service,
                    'data_centre': endpoint.data_centre,
                    'leaving': endpoint.leaving,
                }
                for endpoint in self._routing.directory.all()
            ],
        }

    def metrics_text(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""
        metrics = self._base.metrics
        generation = self._base.config.current().generation
        metrics.put('config_generation', generation)
        metrics.put(
            'peers_alive', len(self._peers.peer_directory.other_instances())
        )
        metrics.put('platform_up', self._programs.platform_up())
        metrics.put('journal_waiting_bytes', self._programs.waiting_bytes())
        return metrics.render()

    def _may_claim(self) -> bool:
        peer_directory = self._peers.peer_directory
        return self._claim_gate.is_open(
            time.monotonic(),
            accepts=peer_directory.accepts,
            has_peers=bool(peer_directory.other_instances()),
        )

    def _has_routing_data(self) -> bool:
        """Returns whether a configuration and the endpoint list are loaded."""
        generation = self._base.config.current().generation
        return generation > 0 and self._routing.directory.is_listed

    def _stop_parts(self) -> None:
        self._peers.stop()
        self._routing.stop()
        pykka.ActorRegistry.stop_all(timeout=STOP_TIMEOUT_S)
        self._base.stop()

    def _run_timer(self) -> None:
        while not self._stopping.wait(TICK_INTERVAL_S):
            try:
                self._tick()
            except Exception:
                log.exception('Periodic tick failed.')

    def _tick(self) -> None:
        self._peers.peer_directory.accepts = self._has_routing_data()
        self._peers.tick()
        self._routing.tick()
        if self._may_claim():
            self._programs.logs.tick()
            self._ready.set()


def _listen_error(exc: OSError) -> ListenError:
    return ListenError(
        f'Cannot listen on an address under `listen`: {exc}.',
        remedy='Choose another port, or stop the process that uses it.',
    )
