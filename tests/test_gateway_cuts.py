"""Gateways partitioned from each other or from the store, as real processes."""

import re
from contextlib import contextmanager
from time import monotonic, sleep

from greengageflow.lab.platform_lab import (
    KEY,
    SAFE,
    PlatformLab,
    PlatformShape,
    configuration,
    route,
)
from tests.support import Proxy, call, start, wait_for

METRICS_PORT = 7302
PEERS_METRIC = re.compile(r"^greengage_peers_live (\d+)", re.M)
ROUTERS = 3
FIRST_ROUTER_NUMBER, FIRST_RELAY_NUMBER = 10, 50
MARK = "/mark/"
SPARE = "key-spare"
REVOKE_S = 5


class PartitionLab(PlatformLab):
    """Gateways that reach the store and each other only through the fault proxy.

    Gateways advertise their own addresses. The proxy replaces these by its relay
    addresses in all messages to gateways and the store; otherwise gateways would
    bypass a partition.
    """

    def __init__(self, **shape):
        super().__init__(PlatformShape(routers=ROUTERS, **shape))
        self._proxy_process = start("greengageflow.lab.fault_proxy", "127.0.0.1")
        self.proxy = Proxy(self._proxy_process.address)
        host = self.subnet.host
        self.relays = {
            host(FIRST_ROUTER_NUMBER + number): host(FIRST_RELAY_NUMBER + number)
            for number in range(ROUTERS)
        }

    def close(self):
        super().close()
        self.proxy.close()
        self._proxy_process.stop()

    def launch_router(self, name):
        settings = self.settings[name]
        if "metrics" not in settings:
            ip, _, port = settings["gossip"].partition(":")
            settings["metrics"] = f"{ip}:{METRICS_PORT}"
            listen = self.relays[ip], int(port)
            target = ip, int(port)
            self.proxy.datagrams(f"gossip:{name}", target, listen, self.relays)
            store = self.proxy.route(
                f"store:{name}", self.store.address, texts=self.relays
            )
            settings["store"] = "{}:{}".format(*store)
            for ip, relay in self.relays.items():
                settings["seeds"] = [
                    seed.replace(ip + ":", relay + ":") for seed in settings["seeds"]
                ]
        return super().launch_router(name)

    def peer_count(self, name):
        address = self.settings[name]["ip"], METRICS_PORT
        found = PEERS_METRIC.search(call(address, "GET", "/metrics").data.decode())
        return int(found[1])

    def wait_for_peers(self, counts):
        wait_for(
            lambda: [self.peer_count(name) for name in self.settings] == counts,
            f"gateways count {counts} peers",
        )

    @contextmanager
    def rules(self, *rules):
        self.proxy.rules(*rules)
        yield
        self.proxy.rules()


def test_one_way_partition_between_gateways():
    """The first gateway, a store reader, receives from the second one, but its own
    messages to it are lost. All gateways keep serving, a new route and a revoked key
    take effect on all of them, and the second counts the first again after the cut.
    """
    with PartitionLab() as lab:
        lab.wait_for_peers([2, 2, 2])
        source = lab.settings["r0"]["ip"]
        cut = {"do": "cut", "route": "gossip:r1", "source": source}
        with lab.rules(cut):
            lab.wait_for_peers([2, 1, 2])
            for name in lab.settings:
                assert lab.ask(SAFE, name).status == 200
            config = configuration(7)
            config["tenants"] = [{"name": "tenant-1", "api_keys": [SPARE]}]
            mark = route("mark", MARK, "app", "idempotent")
            lab.publish({**config, "routes": [*config["routes"], mark]})
            for name in lab.settings:
                options = {"router": name, "key": SPARE}
                wait_for(lambda a=options: lab.ask(MARK, **a).status == 200, "in force")
                assert lab.ask(SAFE, name, key=KEY).status in (401, 503)
        lab.wait_for_peers([2, 2, 2])


def test_gateway_restarted_while_partitioned_from_all():
    """A gateway is partitioned from the store and its peers and restarted before the
    cut ends. It has no configuration then, reports that it is not ready, refuses
    requests with 503, which callers may retry, and runs none. After the cut it serves
    again without intervention.
    """
    with PartitionLab() as lab:
        lab.wait_for_peers([2, 2, 2])
        own = lab.settings["r1"]["ip"]
        cuts = [{"do": "cut", "route": "store:r1"}, {"do": "cut", "route": "gossip:r1"}]
        cuts += [
            {"do": "cut", "route": f"gossip:{name}", "source": own}
            for name in ("r0", "r2")
        ]
        with lab.rules(*cuts):
            lab.wait_for_peers([1, 0, 1])
            lab.routers["r1"].kill()
            lab.launch_router("r1")
            wait_for(
                lambda: lab.readiness_status("r1") == 503, "the new process answers"
            )
            refused = [lab.ask(SAFE, "r1") for _ in range(5)]
            assert {answer.status for answer in refused} == {503}
            assert not [run for answer in refused for run in lab.runs(answer.id)]
            assert lab.ask(SAFE, "r0").status == 200
        lab.wait_ready("r1")
        assert lab.ask(SAFE, "r1").status == 200
        lab.wait_for_peers([2, 2, 2])


def test_gateway_that_slept_trusts_no_keys_on_reports_from_before():
    """A gateway is frozen, then cut off from all, then a key is revoked. When it wakes,
    its socket holds reports of its peers from before the cut. It took them for fresh
    and ran requests with the revoked key past the bound.
    """
    with PartitionLab(bounds={"revoke_ms": 1000 * REVOKE_S}) as lab:
        lab.wait_for_peers([2, 2, 2])
        own = lab.settings["r2"]["ip"]
        cuts = [{"do": "cut", "route": "store:r2"}, {"do": "cut", "route": "gossip:r2"}]
        cuts += [
            {"do": "cut", "route": f"gossip:{name}", "source": own}
            for name in ("r0", "r1")
        ]
        assert lab.ask(SAFE, "r2", key=KEY).status == 200
        lab.routers["r2"].pause()
        sleep(0.5)  # reports arrive in its socket
        with lab.rules(*cuts):
            config = configuration(7)
            config["tenants"] = [{"name": "tenant-1", "api_keys": [SPARE]}]
            lab.publish(config)
            acked = monotonic()
            sleep(4.0)
            lab.routers["r2"].resume()
            while (asked := monotonic()) < acked + 2 * REVOKE_S:
                status = lab.ask(SAFE, "r2", key=KEY).status
                assert status in (401, 503) or asked < acked + REVOKE_S
        wait_for(lambda: lab.ask(SAFE, "r2", key=SPARE).status == 200, "served")
        assert lab.ask(SAFE, "r2", key=KEY).status == 401


def test_gateway_trusts_no_keys_on_reports_that_the_network_delayed():
    """Messages to a gateway take 3 s. It is cut off from all, then a key is revoked.
    The reports under way confirmed the old configuration when they arrived, and
    requests with the revoked key ran past the bound.
    """
    with PartitionLab(bounds={"revoke_ms": 1000 * REVOKE_S}) as lab:
        lab.wait_for_peers([2, 2, 2])
        own = lab.settings["r2"]["ip"]
        with lab.rules({"do": "delay", "route": "gossip:r2", "delay_s": 3.0}):
            sleep(4.0)
            wait_for(lambda: lab.ask(SAFE, "r2", key=KEY).status == 200, "served")
            cuts = [{"do": "freeze", "route": "store:r2"}]
            cuts += [{"do": "cut", "route": "gossip:r2"}]
            cuts += [
                {"do": "cut", "route": f"gossip:{name}", "source": own}
                for name in ("r0", "r1")
            ]
            lab.proxy.rules(*cuts)
            sleep(0.1)
            config = configuration(7)
            config["tenants"] = [{"name": "tenant-1", "api_keys": [SPARE]}]
            lab.publish(config)
            acked = monotonic()
            while (asked := monotonic()) < acked + 2 * REVOKE_S:
                status = lab.ask(SAFE, "r2", key=KEY).status
                assert status in (401, 503) or asked < acked + REVOKE_S
        wait_for(lambda: lab.ask(SAFE, "r2", key=SPARE).status == 200, "served")
        assert lab.ask(SAFE, "r2", key=KEY).status == 401
