"""Admission of calls: account, pool and idempotency key checks."""

from hashlib import sha256
from hmac import compare_digest
from itertools import count
from time import monotonic

from greengageflow.core.affinity import prefix_of
from greengageflow.core.catalog import ClientAccount, FleetConfig, Pool, PoolKind, Route
from greengageflow.core.messages import PeerId
from greengageflow.daemon.request_context import RequestContext
from greengageflow.errors import ErrorKind, RouterError
from greengageflow.net.callers import ChatCall, ServiceCall


class Admission:
    """Admits the calls that the configuration allows.

    Args:
        own: Id of this router, part of each request id.
    """

    def __init__(self, own: PeerId) -> None:
        self._own = own
        self._cfg = FleetConfig()
        self._accounts: dict[str, ClientAccount] = {}
        self._numbers = count(1)

    @property
    def readiness_error(self) -> RouterError | None:
        """Why no calls can be admitted, or None."""
        if self._cfg.revision:
            return None
        return RouterError(ErrorKind.NOT_CONFIGURED, "no configuration yet")

    def on_config(self, cfg: FleetConfig) -> None:
        """Apply a new configuration."""
        self._cfg = cfg
        self._accounts = {
            key_hash: account
            for account in cfg.accounts.values()
            for key_hash in account.key_hashes
        }

    def admit(self, call: ChatCall | ServiceCall) -> RequestContext:
        """Return the state of a newly admitted request.

        Raises:
            RouterError: The account, model or service is unknown, the route requires
                an idempotency key, or there is no configuration yet.
        """
        if self.readiness_error:
            raise self.readiness_error
        account = self._account(call.account_key)
        pool = self._pool(call)
        deadline_s = min(call.deadline_s or pool.deadline_s, pool.deadline_s)
        ctx = RequestContext(
            id=f"{self._own.host}-{self._own.boot}-{next(self._numbers)}",
            call=call,
            account=account,
            pool=pool,
            cost=call.cost_hint or pool.cost_hint,
            deadline=monotonic() + deadline_s,
        )
        if call.idempotency_key:
            ctx.action_key = f"{account.name}\n{call.idempotency_key}"
        match call:
            case ChatCall():
                ctx.prefix = prefix_of(call.model, call.body)
            case ServiceCall():
                _require_idempotency_key(call, pool)
        return ctx

    def _account(self, key: str) -> ClientAccount:
        if not key:
            raise RouterError(ErrorKind.UNAUTHORIZED, "no bearer key")
        key_hash = sha256(key.encode()).hexdigest()
        account = self._accounts.get(key_hash)
        if account is None or not any(
            compare_digest(key_hash, known_hash) for known_hash in account.key_hashes
        ):
            raise RouterError(ErrorKind.UNAUTHORIZED, "unknown bearer key")
        return account

    def _pool(self, call: ChatCall | ServiceCall) -> Pool:
        match call:
            case ChatCall(model=name):
                kind = PoolKind.MODEL
            case ServiceCall(service=name):
                kind = PoolKind.SERVICE
        pool = self._cfg.pools.get(name)
        if pool is None or pool.kind is not kind:
            raise RouterError(ErrorKind.UNKNOWN_TARGET, f"no {kind.value} {name!r}")
        return pool


def _require_idempotency_key(call: ServiceCall, pool: Pool) -> None:
    route = route_of(pool, f"/{call.path}")
    if not route.repeatable and not call.idempotency_key:
        text = f"{call.path}: this route requires an Idempotency-Key header"
        raise RouterError(ErrorKind.KEY_REQUIRED, text)


def route_of(pool: Pool, path: str) -> Route:
    """Return the route with the longest matching prefix of ``path``."""
    matching = [route for route in pool.routes if path.startswith(route.prefix)]
    return max(matching, key=lambda route: len(route.prefix), default=Route("/"))
