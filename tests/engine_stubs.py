"""Three engines of a service, with their load, health and prompt places."""

from greengageflow.core.endpoint_choice import EndpointChooser
from greengageflow.core.endpoint_health import EndpointHealth
from greengageflow.core.endpoint_list import ListedEndpoint
from greengageflow.core.endpoint_load import EndpointLoad
from greengageflow.core.forward_request import Prompt, PromptPart
from greengageflow.core.prefill_model import PrefillModel
from greengageflow.core.prompt_places import PromptPlaces
from greengageflow.core.routes import RetryPolicy, Route


def engine_load(rate=10_000.0, slots=4, memory=1000):
    return EndpointLoad(slots, memory, PrefillModel(rate, fixed_s=0.0))


def endpoint(name, zone="z", born=0):
    return ListedEndpoint(
        name, "model", "127.0.0.1", 9, zone, 4, born=born, version="v1"
    )


def stream_route(target_s, *, stream=True):
    """A route that decides whether a configuration has short targets."""
    return Route(
        name="chat",
        host="x",
        prefix="/",
        retry_policy=RetryPolicy.ONCE,
        stream=stream,
        timeout_s=10.0,
        target_s=target_s,
        gap_s=0.3,
        attempts=1,
        priority=1,
        public=False,
        backends=(),
    )


PROMPT = Prompt((PromptPart("shared", 4000), PromptPart("own", 100)), 4100, 10)


class Engines:
    """Three engines with the state that a host keeps of them."""

    def __init__(self):
        self.listed = [endpoint("e0"), endpoint("e1"), endpoint("e2")]
        self.loads = {e.id: engine_load(memory=0) for e in self.listed}
        self.health, self.places = EndpointHealth(), PromptPlaces()
        self.chooser = EndpointChooser(
            lambda e: self.loads[e.id], self.health, self.places, "z"
        )

    def choose(self, prompt=PROMPT, max_wait_s=9.0, transfers=True, zone=""):
        candidates = self.chooser.find_candidates(1.0, self.listed)
        return self.chooser.choose(
            1.0,
            candidates,
            prompt,
            max_wait_s=max_wait_s,
            transfers=transfers,
            zone=zone,
        )
