"""Lookup of the route of a request."""

from fescueknot.routes.messages import Route

_DEFAULT_PORTS = (':80', ':443')


class RouteTable:
    """Routes by host; the longest prefix of the path wins."""

    def __init__(self, *, routes: tuple[Route, ...]) -> None:
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            by_prefix = self._by_host.setdefault(route.host.lower(), {})
            by_prefix[route.path_prefix] = route

    def find(self, host: str, target: str) -> Route | None:
        """Return the route of a request, or ``None``.

        ``target`` is the path with its query; prefixes end with a slash.
        """
        by_prefix = self._by_host.get(normalized_host(host))
        if by_prefix is None:
            return None
        path = target.partition('?')[0]
        end = len(path)
        while end > 0:
            end = path.rfind('/', 0, end)
            if end < 0:
                return None
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
        return None


def normalized_host(host: str) -> str:
    """Return the form in which a host is looked up."""
    lowered = host.lower()
    for port in _DEFAULT_PORTS:
        lowered = lowered.removesuffix(port)
    return lowered
