"""Tests of the cache of decoded hellos."""

from dataclasses import replace

from greengageflow.core.hello_cache import MAX_HELLOS, HelloCache
from greengageflow.core.router_table import Hello
from greengageflow.net.report_codec import encode

HELLO = Hello(host="r", boot=1, ip="127.0.0.1", port=9, zone="z")


def test_the_same_bytes_are_the_same_hello_and_others_are_not():
    """The hello of a router that stops or restarts must not hit the cache."""
    same = HelloCache()
    same.put(encode(HELLO), HELLO)
    assert same.get(encode(HELLO)) == HELLO
    assert same.get(encode(replace(HELLO, stopping=True))) is None
    assert same.get(encode(replace(HELLO, boot=2))) is None


def test_no_more_are_remembered_however_many_starts_there_are():
    same = HelloCache()
    for boot in range(2 * MAX_HELLOS + 5):
        same.put(encode(replace(HELLO, boot=boot)), HELLO)
    assert len(same) <= MAX_HELLOS
