"""Fixed text of the gateway section of docs/CAPACITY.md."""

HEAD = """## Control alone, simulated: the gateway

Measured by `greengage-bench gateway` on {date}, one
process on a machine with {processors} processors shared with others, load average
{load}. Real `FleetExchange`, codec, sums, `StoreView`, `EndpointLoads`, `DecayedSums`
and `PromptPlaces`; network, store and time are simulated. 9, 69 and 360 routers in 3, 3
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
| report to two relays, notices to the first one, 40 hellos/s round a ring of all | \
`core.router_table`, `core.peer_report`, `core.hello_ring` |
| relay that reads the store | as a member, with the reports of its zone and the \
sums of the others | what changed in the sum of the zone to other zones' relays, and \
in the sum of the fleet to each member, each 0.1 s, rarer from 120 hosts on, 0.4 s \
from 320 on; whole sums each 1 s and when asked | `core.sum_changes`, \
`core.relay_sums` |
| second relay | the same | tells no sums while the first one's come | silence of \
0.5 s |
| store | configuration, list | the first routers of two zones read all the time and \
pass changes on; others read when they missed one or nobody heard | \
`daemon.store_view`, `core.store_duty`, `core.store_updates` |
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
a reader asks for the list once a pace and for the configuration by a poll that is held
for half of one, 3.3 calls/s. There are two readers, however many zones there are; the
table is of the code before, which had one in each zone.
Measured, calls/s of each router in a role (configuration unchanged, store quick):

| routers | zones | reader | second relay | member | readers, by the rules | whole \
fleet, from the measured |
| --- | --- | --- | --- | --- | --- | --- |"""

MISFITS = """
### What does not fit

- **Placers are not in these tables.** A request for an engine cost its placer 198
  bytes in (asks, and notes of those that ran) and 74 out on average, beside a roll of
  each host twice a second (18 engines, 4,000 requests, many of them refused). In a
  queue of 30 accounts it took 1.5, 1.7 and 3.2 ms of processor time with 10, 18 and 32
  engines (trial at load 16, with the askers' part of the codec): at 140 requests/s, a
  placer's part at 360 routers, 20 to 45 % of a core. On the bench the busiest of 9
  routers had 0.18 of a core, of clients' requests and all. Since then engines are
  looked at once for all accounts, which took a third of the time (9 engines, 30
  accounts, 7,865 requests in simulated time: 40.6 and 13.9 s under the profiler). A
  placer also keeps a mirror of each engine's memory, a few hundred entries,
  and asks each engine once what it keeps (59 to 248 parts seen; bytes not measured).
- **Seconds of the two tables were not taken alike**: the load average was some 7 before
  and 32 after. Run side by side at 69 (2026-12-03 02:26 UTC) a relay took 7.3 % of a
  core before and 6.4 after, the second one 4.8 and 3.2, a member 1.5 and 1.1. Bytes and
  messages do not depend on the load.
- **At 9 hosts control became no cheaper in processor time**: 9 routers took 2,616
  million instructions before and 2,721 after (cachegrind, 3 s simulated, the program's
  start with it); bytes fell by a quarter.
- **Bytes and processor time of relays are over the limits at 69 and 360 routers.**
  Sums now name only what changed, and at 7.5 requests/s a router that is nearly every
  endpoint: at 360 all 600 in each 0.4 s. What is left is sent to each member of the
  zone. A tree (some members pass sums on) would bring a relay at 69 to about 110 KB/s
  out (worked out), for no processor time saved and a second chance of loss on the way,
  so it was not done. What comes in is mostly whole reports of the zone's routers, four
  times a second; reports of changes would be the next step.
- **Loads take three turns**: a change is known to all 68 others of 69 after 0.14 to
  0.33 s, to half of them after 0.07 to 0.26 s (8 changes, simulated, no loss; as it was
  before).
- **A mesh of 9 is just above 30 KB/s each way**: whole reports go four times a second
  to each of 8 others.
- **The pace of sums is 0.4 s at 320 routers and more.** It is the most that
  `fleet_sums.QUIET_S` of 1 s allows when one sum is lost. Routers know of others' loads
  up to 0.3 s later for it. In a fleet of 14 to 119 routers it is 0.1 s.
- **Hosts that are taken for dead: none.** Hellos by lot left 6.59 % of the pairs of 360
  unheard (102,274 of 1,550,880 looks, each second from 28 s to 40 s of simulated time,
  no loss); round a ring 0 were, in the same run.
- **At 360 a whole sum is easily lost**: the datagram has tens of KB, many packets on a
  real network. Changes after it can still be taken; who cannot asks, and all get a
  whole one 0.05 s later.
- **At 20 % loss** a router that is not heard for 1.5 s drops out of the sums of 60 for
  some 0.7 s, as before this change: 606 of 45,000 looks found 58 instead of 59 others,
  291 before (three seeds of 25 s, simulated), and none fewer than 58.
- **One account at one host.** A request that is read and served takes 1.7 to 2.2 ms of
  processor time with its connection, whether 0 or 3,800 others are open (0.07 to 0.30
  ms of it the connection; 1.07 before sockets stood in sets); one that is turned away
  unread 0.245 ms (trials with stand-ins, a whole core, a machine with other work). A
  host of half a core reads so some 250 requests a second and turns some 2,000 away,
  worked out. Since then, with a parser in C and callers that are turned away as
  they are accepted, a gateway under plain load takes 0.72 to 0.77 of that time, under
  streams 0.79 to 0.80, and 52 to 62 µs in place of 136 to 173 for one that is turned
  away (one run each, beside other work). At 2,700 requests a second and 360 routers
  7.5 come to each; a tenth of all at one host would be beyond it.
- **Descriptors.** Of 4,100, callers get 1,560 connections, idle ones to endpoints 585,
  and 200 are reserved; worked out from `core.file_budget`.
- **Store.** Members made no calls in these runs, nor in those before sums of changes:
  a reader's poll is held for half a pace, so that its word is never stale. The price
  is one more call a pace and reader. A router that begins still makes two calls.

### Not measured

The circuits poller around each datagram, HTTP of the store's calls, packets that are
cut up by the network (a sum of 30 KB takes 21 packets), loss and delay, a change of
the configuration to all 360, and queues of waiting requests.

# The product's own interface

What follows is of `greengage-router`, the program for the product's own interface.
"""
