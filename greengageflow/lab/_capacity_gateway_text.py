"""The words of the gateway's part of docs/CAPACITY.md."""

HEAD = """# Capacity

Made by `greengage-bench capacity` from [gateway-slopes.json](gateway-slopes.json) and
[slopes.json](slopes.json); do not edit it, change `greengageflow/lab/capacity.py` and
the modules `_capacity_*.py` beside it.

## What runs for the users: the gateway

Measured by `greengage-bench gateway` on {date}, one
process on a machine with {processors} processors shared with others, load average
{load}. Real `FleetExchange`, codec, sums, `StoreView`, `LoadBook`, `DecayedSums` and
`PromptPlaces`; network, store and time are simulated. 9, 64 and 360 routers in 3, 4
and 7 zones, 12, 60 and 600
endpoints, 16, 30 and 200 accounts; 7.5 requests/s and 116 in flight at each router.
Assumed: a tenth of the accounts make half the requests; half the requests carry a
shared prompt part that is told, of 2,000 parts at 4 endpoints each. No run had 360
processes, and none of these figures is of a real network.

| role | state | messages | mechanism |
| --- | --- | --- | --- |
| everybody, below 14 others | reports of all | a report each 0.25 s and a notice \
each 0.05 s to all, when loads changed | mesh |
| member, from 14 on | addresses, hellos, the newest sum, own history of 64 messages \
| report and notices to two relays, 40 hellos/s to others by lot | \
`core.router_table`, `core.peer_report` |
| relay that reads the store | as a member, with the reports of its zone and the \
sums of the others | sum of the zone to other zones' relays, sum of the fleet to \
each member, each 0.1 s, rarer from 120 hosts on, 0.4 s from 320 on | \
`core.fleet_sums.relay_turns` |
| second relay | the same | tells no sums while the first one's come | silence of 1 s |
| store | configuration, list | two reads a pace and zone, others when stale | \
`daemon.store_view`, `core.store_duty` |
"""

TABLE = """
Per second of simulated time. *Core* has codec, sums, loads, parting of capacity and the
store view in it, and one `sendto` and `recv` on loopback a datagram; it is the median
of three windows of 2 s (lowest and highest behind it), the mean of the routers in that
role. Over the limits means above 2 % of a core, 30 KB/s each way, or 32 MB.

| routers | role | out: messages, KB | in: messages, KB | core % | state MB | over \
the limits |
| --- | --- | --- | --- | --- | --- | --- |"""

STORE = """
### Calls of the store

By the rules (`core.store_duty`): a pace of 0.9 s, since operators bound changes to 2 s;
each zone's reader asks for configuration and list once a pace, 2.2 calls/s a zone.
Measured, calls/s of each router in a role (configuration unchanged, store quick):

| routers | zones | reader | second relay | member | readers, by the rules | whole \
fleet, from the measured |
| --- | --- | --- | --- | --- | --- | --- |"""

MISFITS = """
### What does not fit

- **Bytes and processor time of relays are far over the limits at 360 routers, and over
  them at 64.** The sum of the fleet names all 600 endpoints and all accounts, and one
  relay sends it to each of the 50 members of its zone. Pace alone cannot mend it: to
  fit 30 KB/s a relay might send one such sum in 50 s. It would take sums that name
  only what changed by more than a little, as notices already do, and a tree of more
  relays in a zone; neither is done.
- **Members are over the limits at 64, and more so at 360**, by the bytes of the sums
  that they get and by reading them. By the code, what is sorted adds to it:
  `reads_store` sorts all known routers 20 times a second, `_own_relays`, `_is_relay`
  and `_relay` do so again. Relays kept until the table changes would take that off.
- **A mesh of 9 is above 30 KB/s each way**: whole reports of about 1 KB go four times
  a second to each of 8 others, which makes some 30 KB of it (worked out).
- **The pace of sums was lengthened** from 0.1 s to 0.4 s at 320 routers and more. It is
  the most that `fleet_sums.QUIET_S` of 1 s allows when one sum is lost. The price, not
  measured in a fleet: routers know of others' loads up to 0.3 s later, and by the code
  some prompt parts that were placed between two sums are never told, as a sum takes
  the 0.3 s that each newest report holds. Only the size of the fleet paces it: in a
  fleet of 14 to 119 routers nothing changed.
- **Hosts that are taken for dead.** Hellos go to 10 others by lot each 0.25 s, and at
  360 a router counts as silent after 24 s without one. By the Poisson law that is
  exp(-24/9) = 7 % of the pairs at any time (worked out; the runs here begin with all
  known and are too short to show it). A member that has not heard its relay tells
  another router, which does not add it up; sums that come from a relay do not count
  as word of it. To let them count is the smallest change.
- **Store.** A reader's held poll makes its word 0.9 to 1.8 s old, and word is stale
  after 1.5 s, so members read for themselves at times: 0.33 to 0.5 calls/s each at 9.
  **At 360 the rarer sums cost the store more**: with a sum each 0.1 s and all else
  alike, members made no calls in one window of 2 s (a trial, 2026-12-03 01:15 UTC);
  with one each 0.4 s they made 0.21 calls/s each, some 70 more for the fleet. A larger
  `STALE_PACES`, or a poll held for half a pace, is the remedy to try; it shortens what
  is left of the operators' bounds, so it was not done here.

### Not measured

The circuits poller around each datagram, HTTP of the store's calls, packets that are
cut up by the network (a sum of 30 KB takes 21 packets), loss and delay, a change of
the configuration to all 360, and queues of waiting requests.

# The product's own interface

What follows is of `greengage-router`, the program for the product's own interface.
"""
