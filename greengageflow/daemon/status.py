"""Response of ``GET /status``."""

from collections.abc import Callable, Iterator
from time import monotonic
from typing import Any

from greengageflow.daemon.config_follower import ConfigFollower
from greengageflow.daemon.control import Control
from greengageflow.net.log_client import LogClient
from greengageflow.net.peers import PeerLink


class StatusSource:
    """Collects the status of one router.

    Args:
        control: Control of the core components.
        config_follower: Follower of the configuration stream.
        link: Transport for messages to other routers.
        log_client: Client of the platform's log.
        state: Returns ``running`` or ``stopping``.
        orders: Returns status rows of the orders that this router has read.
    """

    def __init__(
        self,
        control: Control,
        config_follower: ConfigFollower,
        link: PeerLink,
        log_client: LogClient,
        *,
        state: Callable[[], str],
        orders: Callable[[], list[dict[str, Any]]] = list,
    ) -> None:
        self._control = control
        self._config_follower = config_follower
        self._link = link
        self._log = log_client
        self._state = state
        self._orders = orders

    def status(self) -> dict[str, Any]:
        """Return the status as a JSON object."""
        control = self._control
        return {
            "host": control.own.host,
            "boot": control.own.boot,
            "zone": control.view.zone,
            "state": self._state(),
            "config": self._config_follower.status,
            "history": [
                _decision_row(item) for item in self._config_follower.fold.history
            ],
            "members": dict(self._members()),
            "roster": sorted(control.view.roster),
            "endpoints": {
                usage.endpoint: {
                    "slots": usage.allowed,
                    "used": usage.used,
                    "resting": usage.resting,
                    "leaving": usage.leaving,
                }
                for usage in control.owner.usage(monotonic())
            },
            "leaving": [
                name
                for name in self._config_follower.config.endpoints
                if control.leaving.is_leaving(name)
            ],
            "waiting": control.entry.waiting,
            "running": control.entry.running,
            "accounts": dict(self._accounts()),
            "actions": {
                "unreported": control.actions.unreported,
                "keys": control.writer.key_count,
                "outbox": control.writer.outbox_size,
            },
            "orders": self._orders(),
            "control": self._control_counters(),
        }

    def _members(self) -> Iterator[tuple[str, Any]]:
        for host, member in self._control.view.live.items():
            state = "stopping" if member.stopping else "live"
            yield host, {"boot": member.boot, "zone": member.zone, "state": state}

    def _accounts(self) -> Iterator[tuple[str, Any]]:
        ledger = self._control.ledger
        for account, row in ledger.totals.items():
            yield (
                account,
                {
                    "served": row.served,
                    "pending": row.pending,
                    "waiting": row.waiting,
                    "level": round(ledger.level(account), 1),
                },
            )

    def _control_counters(self) -> dict[str, Any]:
        counters = self._link.counters
        return {
            "bytes_in": counters.bytes_in,
            "bytes_out": counters.bytes_out,
            "messages_in": counters.messages_in,
            "messages_out": counters.messages_out,
            "dropped": counters.dropped,
            "out_by_type": dict(counters.out_by_type),
            "log_appends": self._log.appends,
            "log_reads": self._log.reads,
        }


def _decision_row(item: Any) -> dict[str, Any]:
    return {
        "offset": item.offset,
        "author": item.author,
        "nonce": item.nonce,
        "outcome": type(item.outcome).__name__.lower(),
        "revision": getattr(item.outcome, "revision", None),
        "reason": getattr(item.outcome, "reason", None),
        "text": getattr(item.outcome, "text", ""),
    }
