"""Route lookup by host and longest path prefix."""

from collections.abc import Iterator

from cactusledge.gateway.accounts import AccountKeys
from cactusledge.gateway.messages import Configuration, Route, Service

SLASH = '/'


class RouteTable:
    """The routes and accounts of one version of the configuration."""

    def __init__(self, cfg: Configuration) -> None:
        """Indexes the routes."""
        self.cfg = cfg
        self.accounts = AccountKeys(cfg.accounts)
        self._routes: dict[tuple[str, str], Route] = {
            (route.host, route.prefix): route for route in cfg.routes
        }
        self._services = {service.name: service for service in cfg.services}

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching prefix, if any."""
        host = host.partition(':')[0].lower()
        for prefix in prefixes(path):
            route = self._routes.get((host, prefix))
            if route is not None:
                return route
        return None

    def service(self, name: str) -> Service | None:
        """Returns a service by name, None if it is not configured."""
        return self._services.get(name)


def prefixes(path: str) -> Iterator[str]:
    """Yields the possible route prefixes of the path, longest first."""
    end = path.partition('?')[0].rfind(SLASH)
    while end >= 0:
        yield path[: end + 1]
        end = path.rfind(SLASH, 0, end)
