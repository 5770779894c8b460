"""The simulated fleet in which the cost of the gateway's control is measured."""

from greengageflow.lab._gateway_world import Node, World, exchange_hellos, hello

ROUTERS, ZONES = 18, 3


def test_sums_are_recognized_in_stamped_messages():
    """Routers that are not measured must not process sums. Their kind was read from
    the stamp, so that all routers processed them, and no sum's size was recorded."""
    world = World()
    seeds = [hello(number, ZONES).address for number in range(3)]
    for number in range(ROUTERS):
        is_measured = number < ROUTERS - 1
        names = ["engine-0"], ["account-0"]
        own = hello(number, ZONES)
        Node(world, own, seeds, names, 1.0, processes_sums=is_measured)
    exchange_hellos(world)
    nodes = list(world.nodes.values())
    for node in nodes:
        node.start_traffic()
    world.run(4.0)
    sums = [node.exchange._relay_aggregator.sums.fleet_sum(world.now) for node in nodes]
    assert sums[-1] is None and sums[-2] is not None
    assert nodes[0].usage.largest_sums.keys() == {True, False}
