"""Entries without a start time, in lists where something else states start times."""

from dataclasses import replace

from greengageflow.core.endpoint_list import EndpointList, ListedEndpoint

ENTRY = ListedEndpoint("e", "svc", "127.0.0.1", 8000, "z", slots=8, version="v1")


def listed(*entries):
    """Return a list with these entries."""
    found = EndpointList()
    for entry in entries:
        list(found.put(entry))
    return found


def after_an_answer():
    """Return a list whose endpoint has stated a start time that its entry lacks."""
    found = listed(ENTRY)
    list(found.put_unlisted(replace(ENTRY, born=1000, version="")))
    return found


def test_an_endpoint_that_is_listed_as_draining_gets_no_work():
    """Its entry was dropped as one of an earlier start."""
    endpoints = after_an_answer()
    list(endpoints.put(replace(ENTRY, leaving=True)))
    assert not endpoints.may_use("e")


def test_an_endpoint_that_is_listed_at_another_address_is_used_there():
    """Its entry was dropped as one of an earlier start."""
    endpoints = after_an_answer()
    list(endpoints.put(replace(ENTRY, port=9000)))
    assert endpoints.get("e").port == 9000


def test_one_entry_with_a_start_time_does_not_end_resumption_in_other_services():
    """One such entry, even removed, left all versions of the fleet unknown for good."""
    odd = ListedEndpoint("odd", "other", "127.0.0.1", 9, "z", born=5, version="v1")
    endpoints = listed(ENTRY, odd)
    list(endpoints.drop("odd"))
    assert endpoints.version_of(endpoints.get("e")) == "v1"


def test_an_endpoint_that_announced_that_it_leaves_gets_no_work():
    """Its start time became known, and the mark counted as one of an earlier start."""
    endpoints = listed(ENTRY)
    endpoints.mark_leaving("e", 0)
    list(endpoints.put_unlisted(replace(ENTRY, born=1000, version="")))
    assert not endpoints.may_use("e")
