"""Stand-in for the platform's lagging list of live and leaving hosts."""

from greengageflow.lab._standin_http import BadCallError, Call, Reply, StandIn


class HostsStandIn(StandIn):
    """The host list; ``PUT /hosts`` replaces it after a delay.

    Example:
        greengage-standin hosts --port 7101 --lag_s 2

    Args:
        host: IP address to listen on.
        port: TCP port; 0 for any free one.
        lag_s: Delay until a change is visible, in seconds.
    """

    def __init__(
        self, host: str = "127.0.0.1", port: int = 0, *, lag_s: float = 0.0
    ) -> None:
        super().__init__(host, port)
        self._lag_s = lag_s
        self._visible_hosts: list[dict] = []

    def operation(self, call: Call) -> str:
        """Return ``read`` or ``write``."""
        return "read" if call.method == "GET" else "write"

    def answer(self, call: Call) -> Reply:
        """Return the list, or accept a new one."""
        if call.path != "/hosts":
            return Reply(404, {"error": "no such path"})
        if call.method == "GET":
            return Reply(200, {"hosts": self._visible_hosts})
        hosts = call.json.get("hosts")
        if not isinstance(hosts, list):
            raise BadCallError("hosts must be a list")
        if self._lag_s > 0:
            self.timers.after(self._lag_s, lambda: self._publish(hosts))
        else:
            self._publish(hosts)
        return Reply(200, {"count": len(hosts)})

    def _publish(self, hosts: list[dict]) -> None:
        self._visible_hosts = hosts
