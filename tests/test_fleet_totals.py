"""Fleet-wide service totals with real router processes."""

from greengageflow.lab.lab import Lab, LabPlan
from tests.fleet_support import ENGINE, BackgroundLoad, chats, executions
from tests.support import wait_for

PLAN = LabPlan(routers=3, engines=2, services=1, engine_options=ENGINE)


def test_every_router_receives_fleet_totals():
    """An account that is served through one router must not look unserved to others.

    An owner without fleet totals knows only the service of its own callers. It would
    treat an account that enters through another router as new and grant it all slots.
    """
    with Lab(PLAN) as lab:
        load = BackgroundLoad(
            lab, chats("acme", outstanding=4, routers=(0,)), duration_s=3
        )
        load.results()
        served = sum(execution["pieces"] for execution in executions(lab))
        for host in lab.routers:
            wait_for(
                lambda h=host: lab.status(h)["accounts"]["acme"]["served"] >= served,
                f"{host} knows the service of acme",
            )
