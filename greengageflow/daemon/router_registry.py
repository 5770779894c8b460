"""Discovery of other routers through the platform's store."""

from collections.abc import Callable, Iterable
from ipaddress import ip_address

from greengageflow.daemon.shared_topic import SharedTopic
from greengageflow.net.http_messages import Failure, Response
from greengageflow.net.http_pool import HttpPool
from greengageflow.net.timers import Timers
from greengageflow.platform.names import ROUTERS_TOPIC
from greengageflow.platform.store import StoreAnswerError, parse_newest

POLL_INTERVAL_S = 2.0
FIRST_POLL_DELAY_S = 1.0

Address = tuple[str, int]


class RouterRegistry:
    """Registers this router's address in the store, and looks up others there.

    The settings name only few hosts, and all of them may be down when this one starts.
    One reachable router is enough to learn of all others from its reports. Therefore
    only a few routers register: if each did so at its start, hundreds of calls could
    reach the store at once.

    Args:
        pool: Sends the calls.
        timers: Timer service.
        store: IP number and port of the store.
        host: Name of this host.
        own_address: Address where this router receives reports.
        is_isolated: Returns whether this router gets reports from no other router.
        is_contact: Returns whether this router is one of the few that register.
        on_found: Called with addresses of registered routers.
    """

    def __init__(
        self,
        pool: HttpPool,
        timers: Timers,
        store: Address,
        host: str,
        own_address: Address,
        *,
        is_isolated: Callable[[], bool],
        is_contact: Callable[[], bool],
        on_found: Callable[[Iterable[Address]], None],
    ) -> None:
        self._topic = SharedTopic(pool, store, ROUTERS_TOPIC)
        self._timers = timers
        self._host = host
        self._own_address = own_address
        self._is_isolated = is_isolated
        self._is_contact = is_contact
        self._is_registered = False
        self._on_found = on_found

    @property
    def calls(self) -> int:
        """Number of calls to the store."""
        return self._topic.calls

    def start(self) -> None:
        """Begin to poll."""
        self._timers.after(FIRST_POLL_DELAY_S, self._poll)

    def rewrite(self) -> None:
        """Register again, since the store was restored without the address."""
        self._is_registered = False

    def _register(self) -> None:
        self._is_registered = True
        value = f"{self._own_address[0]}:{self._own_address[1]}".encode()
        self._topic.put(self._host, value, self._on_registered)

    def _on_registered(self, result: Response | Failure) -> None:
        if isinstance(result, Failure) or result.status != 200:
            self._is_registered = False

    def _poll(self) -> None:
        if not self._is_registered and self._is_contact():
            self._register()
        if self._is_isolated():
            self._topic.newest("", self._on_newest)
        self._timers.after(POLL_INTERVAL_S, self._poll)

    def _on_newest(self, result: Response | Failure) -> None:
        if isinstance(result, Failure):
            return
        try:
            records = parse_newest(result).records
        except StoreAnswerError:
            return
        found = (_address(record.value) for record in records if record.value)
        self._on_found([address for address in found if address is not None])


def _address(value: bytes) -> Address | None:
    ip, _, port = value.decode("ascii", "replace").rpartition(":")
    try:
        ip_address(ip)
        return ip, int(port)
    except ValueError:
        return None
