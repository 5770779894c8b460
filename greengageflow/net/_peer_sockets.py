"""ZeroMQ sockets of ``peers`` and their options."""

import zmq

RECONNECT_INTERVAL_MS = 50
MAX_RECONNECT_INTERVAL_MS = 1000
CONNECT_TIMEOUT_MS = 2000
HANDSHAKE_TIMEOUT_MS = 3000
HEARTBEAT_INTERVAL_MS = 3000
HEARTBEAT_TIMEOUT_MS = 3000
HEARTBEAT_TTL_MS = 12_000


def open_pull_socket(
    context: zmq.Context, ip: str, port: int, queue_limit: int
) -> zmq.Socket:
    """Return a socket that listens on ``ip`` and ``port``.

    Args:
        context: ZeroMQ context.
        ip: IP number to listen on.
        port: TCP port to listen on; 0 selects a free one.
        queue_limit: Maximum number of received messages queued per peer.

    Raises:
        zmq.ZMQError: The address cannot be bound.
    """
    sock = context.socket(zmq.PULL)
    sock.setsockopt(zmq.LINGER, 0)
    sock.setsockopt(zmq.RCVHWM, queue_limit)
    sock.setsockopt(zmq.HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS)
    sock.bind(f"tcp://{ip}:{port}")
    return sock


def bound_port(sock: zmq.Socket) -> int:
    """Return the TCP port that a listening socket is bound to."""
    endpoint: bytes = sock.getsockopt(zmq.LAST_ENDPOINT)
    return int(endpoint.rstrip(b"\0").rpartition(b":")[2])


def open_push_socket(
    context: zmq.Context, source_ip: str, ip: str, port: int, queue_limit: int
) -> zmq.Socket:
    """Return a socket that connects to ``ip`` and ``port`` and reconnects.

    Args:
        context: ZeroMQ context.
        source_ip: Local address of the connection.
        ip: IP number of the peer.
        port: TCP port of the peer.
        queue_limit: Maximum number of messages queued for the peer.
    """
    sock = context.socket(zmq.PUSH)
    sock.setsockopt(zmq.LINGER, 0)
    sock.setsockopt(zmq.SNDHWM, queue_limit)
    # Without IMMEDIATE, ZeroMQ keeps its queue while the connection is down and
    # delivers it after reconnecting: a grant could arrive minutes after it was
    # revoked. With IMMEDIATE, the queue is discarded with the connection.
    sock.setsockopt(zmq.IMMEDIATE, 1)
    sock.setsockopt(zmq.RECONNECT_IVL, RECONNECT_INTERVAL_MS)
    sock.setsockopt(zmq.RECONNECT_IVL_MAX, MAX_RECONNECT_INTERVAL_MS)
    sock.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
    sock.setsockopt(zmq.HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS)
    # Detects a peer that is frozen or has lost its network. Without heartbeats, TCP
    # would retransmit for a quarter of an hour, at growing intervals.
    sock.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
    sock.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
    sock.setsockopt(zmq.HEARTBEAT_TTL, HEARTBEAT_TTL_MS)
    sock.connect(f"tcp://{source_ip}:0;{ip}:{port}")
    return sock
