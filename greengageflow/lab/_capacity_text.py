"""Text of docs/CAPACITY.md that does not depend on the measurements."""

HEAD = """Slopes were measured by `make bench-slopes` on {date}, seed
{seed}, {processors} processors shared with others, load average
{low} to {high}. They are drawn in [slopes.svg](slopes.svg).

What is measured and what is worked out: each slope is a run of the real core and codec;
the figures at the design size are the fitted line at that size (service counters and
the events: simulated at the very size, all 360 cores in one process). No run had 360
processes."""

ASSUMPTIONS = """
## Size and assumptions

{size.nodes} nodes, {size.replicas} replicas, {size.requests:.0f} requests/s,
{size.tokens:.0f} tokens/s, {size.accounts} accounts with {size.backlogged} backlogged,
{size.zones} zones in 2 regions, {size.changes} changes a day. From these: {tokens:.0f}
tokens an answer, {answer:.1f} s at 32 ms a token; a node gets {rate:.1f} requests/s
and has {flight:.0f} in flight, of {busy:.0f} accounts at a time (accounts alike).

Assumed: every backlogged account waits at every node, with 64 requests each; the
balancer spreads evenly; 1% of the requests are protected actions (10% below); answers
of actions have 200 bytes; host names of 4 characters (a longer one adds its bytes to
each message). Bytes are of encoded messages; ZeroMQ adds 2 bytes a message, TCP and IP
40 to 52 a packet and as much for an acknowledgement, up to 0.1 KB a message and way.
"""

MISFITS = """## What does not fit, and what was changed

Changed for this size, with the figures that asked for it. Service counters of 360
routers (200 accounts, 92 busy at each router; simulated, load average 7 to 12):

| service counters | busiest out | busiest core | mean out |
| --- | --- | --- | --- |
| every 0.5 s, 8 shards (before) | 174.5 KB/s | 21.1% | 19.6 KB/s |
| every 2 s, 32 shards | 22.4 KB/s | not known | 5.1 KB/s |
| every 2 s, 64 shards (now) | 17.2 KB/s | 0.8% | 5.4 KB/s |

(The core figure of 8 shards leaves out the making of reports, that of 32 had the
simulation's garbage collection in it.) At 0.5 s and 64 shards the busiest of 45 and 90
routers sent 37.9 and 43.6 KB/s. So the interval follows the number of live routers: the
policy's up to 22, 1 s up to 90, 1.5 s up to 180, 2 s up to 360
(`shares.share_interval_s`). The price: owners hear of service 2 s late instead of
0.5 s; fairness at 2 s was seen in trials only, at 9 routers.

Demand of a backlogged account is told again every 4 to 8 s, the more owners the rarer,
instead of every 4 s: 1.9 KB and 48 messages a second instead of 3.0 KB and 75, for 20
accounts at 16 owners.

Ranks of 600 endpoints over 360 hosts were kept with their scores, 38.7 MB with all that
follows the view; without scores they take what the table says.

The writer of protected actions kept the key of every short answer for ever; it now
drops keys when they lapse.

**Does not fit:**

- **Processor time.** Most of it is the link: a message costs what the slope says, sent
  and received, and a node has more than a hundred a second. It would fit with fewer,
  larger messages: one demand message an owner for all accounts instead of one each,
  `GrantTaken` and the withdrawal of the demand in one, reports to 8 collectors a zone
  instead of 37. The slope was taken with nine links in one process on a busy machine
  and has the codec of both ends in it, which the other rows count again; the run of
  real processes below is the check of it.
- **The quiet loop.** A real router without a request spends 1.9% of a core (below, at
  9 and at 60), on top of the rows, which hold only what messages and ticks cost inside
  the core. It would fit with the owner's and the actions' tick planned by what is due
  (`EndpointOwner.next_tick` is there) instead of 20 and 10 times a second.
- **Owner of many endpoints.** Its row for the busiest node is close to the whole
  budget alone: `_pick` looks at every entry router's demand for each grant. An index
  by account would make a grant's cost independent of the entry routers.
- **Bytes, sent and received added up, on the busiest nodes.** Each way alone fits. The
  counters are most of it: 51 routers of a zone get up to 200 rows an interval. It
  would fit with totals sent to owners of endpoints only, or every 3 s.
- **Single seconds.** A zone's loss, the loss of a region and a teller of a new
  configuration pass 30 KB in one second; as means they are small. Neighbours that wait
  a random moment before they ask a teller would spread the last.
- **Start.** The first view of the fleet costs the table's time in one go, during which
  the process serves nothing; it is not behind the balancer then. A change of the
  roster holds the loop for tens of milliseconds, more than the 32 ms between tokens.
"""

MEASURED = """## How it was measured

Processor time by `time.process_time` around core and codec, garbage collection
included except in whole simulated fleets (`_slopes_shares`, `_slopes_members`), where
one collection of 360 nodes' objects would be charged to one. Median of three runs where
a run takes less than 3 s. Memory of control: what Python's allocator holds for the
state (`tracemalloc`), built in a process that serves alone; of the link, resident
memory of both ends. This is what control adds: a router that serves alone has the same
interpreter, sockets and requests. Least squares; the residual is the root mean square
in the outcome's unit.
"""

SIXTY = """Real processes on one machine, 10 engines of 4 slots, 10 accounts of which 2
are backlogged, 7 zones (`greengage-bench sixty`); per router and second, over 20 s.
*Expected* adds up membership, counters, requests, grants and backlog from the slopes
and cores at that size; the error is of the measured against it. Memory is all of a
process, at the end of the load.

The loaded processor time has the callers' and endpoints' side in it and cannot be
compared. The quiet one can: it is what a router spends with no request at all (timers
every 50, 100 and 125 ms, probes, the log's long poll, one call of `/status`).
"""

LEFT_OUT = """## Not measured

- 360 real processes, hosts and a network with loss between them.
- Two regions with their latency; simulated messages take 0.5 to 3 ms.
- Calls of the log and their bytes: 14 long polls a second and the appends above.
- Metrics, spans and logs.
- Fairness at 360 routers.
"""
