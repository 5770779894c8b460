"""The words of docs/CAPACITY.md that no measurement changes."""

HEAD = """# Capacity

Made by `greengage-bench capacity` from [slopes.json](slopes.json); do not edit it,
change `greengageflow/capacity.py` and `_capacity_text.py`. Slopes were measured by
`make bench-slopes` on {date}, seed {seed}, {processors} processors shared with others,
load average {low} to {high}. They are drawn in [slopes.svg](slopes.svg).

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

Changed for this size, with the figures that asked for it (360 routers, 200 accounts, 92
of them busy at each router; simulated, load average 7 to 12):

| service counters | busiest out | busiest core | mean out |
| --- | --- | --- | --- |
| every 0.5 s, 8 shards (before) | 174.5 KB/s | 21.1% | 19.6 KB/s |
| every 2 s, 32 shards | 22.4 KB/s | not known, see below | 5.1 KB/s |
| every 2 s, 64 shards (now) | 17.2 KB/s | 0.8% | 5.4 KB/s |

The interval now grows by 0.5 s for each 90 routers (`shares.share_interval_s`), and
there are 64 shards, the same on every router. (The core figure of the 32 shards had
the simulation's garbage collection in it, that of the 8 shards left out the making of
reports.) The price: owners hear of service 2 s late instead of 0.5 s. Fairness at 2 s
was measured in trials only.

The writer of protected actions kept the key of every short answer for ever, about
14 MB a day for a writer at p = 1% by count; `ActionFold` now drops them on expiry.

Does not fit:

- bytes, when sent and received are added up, on the busiest nodes. The counters of a
  shard are most of it: 51 routers of the zone get 200 rows each interval. It would fit
  with totals sent to owners of endpoints only, or an interval of 3 s.
- single seconds: a zone's loss and a teller of a new configuration (above) pass 30 KB
  for a second or two. As means they are small. Neighbours that wait a random moment
  before they ask a teller would spread the second.
- placement's first run and memory: see the rows; ranks of 600 endpoints over 360
  hosts are most of the state.
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

LEFT_OUT = """## Not measured

- 360 real processes, hosts and a network with loss between them.
- Two regions with their latency; simulated messages take 0.5 to 3 ms.
- Calls of the log and their bytes: 14 long polls a second and the appends above.
- Metrics, spans and logs.
- Fairness at 360 routers.
"""
