"""Requests of the load generator, generated from a plan and its seed."""

import json
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import count
from math import exp, log
from random import Random

from greengageflow.lab._load_conn import Address, HttpCall
from greengageflow.lab.load_plan import ChatLoad, LoadPlan, ServiceLoad

CHAT_PATH = "/v1/chat/completions"
CHAT = "chat"
SERVICE = "service"
PREFIX_CHARS = 512


@dataclass(frozen=True, slots=True)
class Job:
    """One request and its destination."""

    load: ChatLoad | ServiceLoad
    router: Address
    call: HttpCall
    kind: str
    key: str = ""
    tokens: int = 0


def generate_jobs(
    plan: LoadPlan, load: ChatLoad | ServiceLoad, random: Random
) -> Iterator[Job]:
    """Yield an endless sequence of requests of an account."""
    indexes = load.routers or tuple(range(len(plan.routers)))
    for number in count():
        router = plan.routers[random.choice(indexes)]
        key = f"{load.account}-{plan.seed}-{number}-{random.getrandbits(32):08x}"
        key = key if load.protected else ""
        headers = [
            ("Authorization", f"Bearer {load.key}"),
            ("Content-Type", "application/json"),
        ]
        if key:
            headers.append(("Idempotency-Key", key))
        match load:
            case ChatLoad():
                tokens, hint, body = _draw_chat(load, random)
                if hint is not None:
                    headers.append(("X-Cost-Hint", f"{hint:.0f}"))
                call = HttpCall("POST", CHAT_PATH, tuple(headers), body)
                yield Job(load, router, call, CHAT, key, tokens)
            case ServiceLoad():
                path = f"/services/{load.service}/{load.path}"
                body = json.dumps({"number": number}).encode()
                call = HttpCall(load.method, path, tuple(headers), body)
                yield Job(load, router, call, SERVICE, key)


def _draw_chat(load: ChatLoad, random: Random) -> tuple[int, float | None, bytes]:
    drawn = random.lognormvariate(log(load.median_tokens), load.sigma)
    tokens = max(1, min(load.most_tokens, round(drawn)))
    hint = None
    if load.hint_sigma is not None:
        hint = max(1.0, tokens * exp(random.gauss(0, load.hint_sigma)))
    prefix = f"{load.account} {random.randrange(max(1, load.prefixes))} "
    shared_text = (prefix * PREFIX_CHARS)[: min(PREFIX_CHARS, load.prompt_chars)]
    unique_text = f"{random.getrandbits(64):016x}" * (load.prompt_chars // 16 + 1)
    prompt = (shared_text + unique_text)[: load.prompt_chars]
    body = {
        "model": load.model,
        "messages": [{"role": "user", "content": prompt}],
        "stream": load.stream,
        "x_tokens": tokens,
    }
    return tokens, hint, json.dumps(body).encode()
