"""Election of the routers that poll the configuration log and write its snapshots."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from greengageflow.core.messages import PeerId

READERS_PER_ZONE = 2


class MemberView(Protocol):
    """The part of the membership view that role election needs."""

    own: PeerId
    live: Mapping[str, Any]

    def ranked(self, key: str) -> Iterable[str]:
        """Return the hosts of the roster by rendezvous rank for ``key``, best first."""


@dataclass(frozen=True, slots=True)
class Roles:
    """Roles of one router for the configuration log.

    Args:
        reader: Polls the log continuously.
        writer: Appends snapshots to the log.
    """

    reader: bool = True
    writer: bool = True


def config_roles(view: MemberView) -> Roles:
    """Return the roles of this router, by rendezvous hashing over the live members.

    Only some routers poll, because hundreds of long polls would load a log service
    that others share. While membership views differ there may be a few readers or
    writers too many or too few. This is harmless: the other routers still poll at a
    longer interval, and the fold ignores redundant snapshots.
    """
    own = view.own.host
    writer = _top_ranked(view, "config writer", 1, None) == [own]
    zone = getattr(view.live.get(own), "zone", "")
    readers = _top_ranked(view, f"config reader\0{zone}", READERS_PER_ZONE, zone)
    return Roles(writer or own in readers or own not in view.live, writer)


def _top_ranked(view: MemberView, key: str, count: int, zone: str | None) -> list[str]:
    hosts: list[str] = []
    for host in view.ranked(key):
        member = view.live.get(host)
        if member is None or member.stopping or zone not in (None, member.zone):
            continue
        hosts.append(host)
        if len(hosts) == count:
            break
    return hosts
