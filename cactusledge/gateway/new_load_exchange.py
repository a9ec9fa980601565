"""Creates the exchange of what gateways tell each other by way of a store."""

from cactusledge.gateway.configuration_news import VersionReports
from cactusledge.gateway.departure_reports import DepartureReports
from cactusledge.gateway.gateway import Gateway
from cactusledge.gateway.limit_reports import LimitReports
from cactusledge.gateway.parts import GatewayParts
from cactusledge.gateway.withdrawal_reports import WithdrawalReports
from cactusledge.records.load_exchange import LoadExchange, Trackers
from cactusledge.records.store_peers import StorePeers


def new_load_exchange(
    parts: GatewayParts, gateway: Gateway, peers: StorePeers
) -> LoadExchange:
    """Returns the exchange of a gateway; `run` starts it."""
    fleet = gateway.fleet
    own = Trackers(
        fleet.loads,
        DepartureReports(fleet.departures, fleet.metrics),
        LimitReports(fleet.limits, fleet.metrics),
        fleet.crashes,
        VersionReports(gateway.news, parts.peers),
        fleet.quotas,
        gateway.watches,
        WithdrawalReports(fleet.replicas, fleet.metrics),
    )
    return LoadExchange(parts.instance, peers, own)
