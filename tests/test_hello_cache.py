"""Tests of the cache of decoded hellos."""

from dataclasses import replace

from greengageflow.core.hello_cache import MAX_HELLOS, HelloCache
from greengageflow.core.router_table import Hello
from greengageflow.net.report_codec import encode

HELLO = Hello(host="r", boot=1, ip="127.0.0.1", port=9, zone="z")


def test_only_identical_datagrams_hit_the_cache():
    """The hello of a router that stops or restarts must not hit the cache."""
    cache = HelloCache()
    cache.put(encode(HELLO), HELLO)
    assert cache.get(encode(HELLO)) == HELLO
    assert cache.get(encode(replace(HELLO, stopping=True))) is None
    assert cache.get(encode(replace(HELLO, boot=2))) is None


def test_cache_size_is_bounded():
    cache = HelloCache()
    for boot in range(2 * MAX_HELLOS + 5):
        cache.put(encode(replace(HELLO, boot=boot)), HELLO)
    assert len(cache) <= MAX_HELLOS
