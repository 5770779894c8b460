"""Command ``greengage-standin``: small fakes of the platform's services."""

from collections.abc import Callable
from inspect import signature

import fire

from greengageflow.lab._standin_http import StandIn
from greengageflow.lab.standin_engine import EngineStandIn
from greengageflow.lab.standin_hosts import HostsStandIn
from greengageflow.lab.standin_log import LogStandIn
from greengageflow.lab.standin_service import ServiceStandIn
from greengageflow.lab.standin_weights import WeightsStandIn

KINDS: dict[str, type[StandIn]] = {
    "log": LogStandIn,
    "hosts": HostsStandIn,
    "weights": WeightsStandIn,
    "engine": EngineStandIn,
    "service": ServiceStandIn,
}


def _command(kind: type[StandIn]) -> Callable[..., None]:
    def run(**options: object) -> None:
        kind(**options).run()

    # fire takes the flags from the signature and the help from the docstring.
    init_signature = signature(kind.__init__)
    flag_parameters = [
        parameter
        for parameter in init_signature.parameters.values()
        if parameter.name != "self"
    ]
    run.__signature__ = init_signature.replace(
        parameters=[
            parameter.replace(kind=parameter.KEYWORD_ONLY)
            for parameter in flag_parameters
        ],
    )
    run.__doc__ = kind.__doc__
    return run


class Commands:
    """Small fakes of external systems; each runs in one process until SIGTERM.

    Example:
        greengage-standin log --port=9000
        greengage-standin hosts --port=9001
        greengage-standin engine --name=scribe-1 --port=7101 --resumes
        greengage-standin service --name=rounds-1 --port=7201 --latency_s=0.05
    """

    def __init__(self) -> None:
        for name, kind in KINDS.items():
            setattr(self, name, _command(kind))


def main() -> None:
    """Run the command line."""
    fire.Fire(Commands(), name="greengage-standin")


if __name__ == "__main__":
    main()
