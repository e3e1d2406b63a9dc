"""
Peer messages
=============

State updates and queries between daemons.  They only make reactions faster: safety
depends on none of them.
"""

import msgspec


class GroupUpdate(msgspec.Struct, array_like=True, frozen=True):
    """What a daemon knows about one group.

    Attributes
    ----------
    term : int
        Highest term seen.
    contact_age_ms : int
        Time since the primary of that term last answered; -1 if there is none.
    """

    term: int
    contact_age_ms: int


class StateUpdate(msgspec.Struct, array_like=True, frozen=True, tag="news"):
    """A daemon's state, sent at intervals and after a change.

    Attributes
    ----------
    vm : str
    bundle_version : int
    groups : dict of str to GroupUpdate
    leaving : bool
        Whether the daemon is shutting down.
    """

    vm: str
    bundle_version: int
    groups: dict[str, GroupUpdate]
    leaving: bool = False


class BundleQuery(msgspec.Struct, array_like=True, frozen=True, tag="bundle?"):
    """Asks a daemon for the bundle or configuration that it has in force."""


class BundleReply(msgspec.Struct, array_like=True, frozen=True, tag="bundle!"):
    """The bundle or configuration in force at a daemon; version 0 if there is none."""

    version: int
    digest: str
    body: bytes


class InstancesQuery(msgspec.Struct, array_like=True, frozen=True, tag="instances?"):
    """Asks a daemon for its list of instances."""


class InstancesReply(msgspec.Struct, array_like=True, frozen=True, tag="instances!"):
    """A daemon's list of instances.

    Attributes
    ----------
    changed : int
        Version of the list's last change; 0 if there is none.
    entries : dict of str to bytes
        Encoded entries of the instances, by name.
    """

    changed: int
    entries: dict[str, bytes]


class Hello(msgspec.Struct, array_like=True, frozen=True, tag="hello"):
    """Tells a daemon that a new VM has written its lease and waits to be counted."""

    vm: str


class StatusQuery(msgspec.Struct, array_like=True, frozen=True, tag="status?"):
    """Asks a daemon for its state, for operators."""


class MetricsQuery(msgspec.Struct, array_like=True, frozen=True, tag="metrics?"):
    """Asks a daemon for its metrics."""


class BurnQuery(msgspec.Struct, array_like=True, frozen=True, tag="burn?"):
    """Asks a daemon for its request counts against the objectives."""


class PlacementQuery(msgspec.Struct, array_like=True, frozen=True, tag="where?"):
    """Asks a daemon where a statement would go now; for operators.

    Attributes
    ----------
    database : str
    writes : bool
    payload_bytes : int
        Size of the statement's text, which is not sent.
    customer : str
        Name of the customer, never a key; empty without one.
    position : tuple of (int, int) or None
        Position of the session's last write.
    """

    database: str
    writes: bool
    payload_bytes: int = 0
    customer: str = ""
    position: tuple[int, int] | None = None


class DrainRequest(msgspec.Struct, array_like=True, frozen=True, tag="drain"):
    """Tells a daemon to shut down gracefully."""


class JsonReply(msgspec.Struct, array_like=True, frozen=True, tag="json!"):
    """An answer for operators as JSON."""

    body: bytes


Query = (
    BundleQuery
    | InstancesQuery
    | Hello
    | StatusQuery
    | MetricsQuery
    | BurnQuery
    | PlacementQuery
    | DrainRequest
)
Reply = BundleReply | InstancesReply | JsonReply

_ENCODER = msgspec.msgpack.Encoder()
_UPDATE_DECODER = msgspec.msgpack.Decoder(StateUpdate)
_QUERY_DECODER = msgspec.msgpack.Decoder(Query)
_REPLY_DECODER = msgspec.msgpack.Decoder(Reply)


def encode(message):
    """Encode a message."""
    return _ENCODER.encode(message)


def decode_update(data):
    """Decode a state update.

    Raises
    ------
    msgspec.DecodeError or RecursionError
    """
    return _UPDATE_DECODER.decode(data)


def decode_query(data):
    """Decode a query.

    Raises
    ------
    msgspec.DecodeError or RecursionError
    """
    return _QUERY_DECODER.decode(data)


def decode_reply(data):
    """Decode a reply.

    Raises
    ------
    msgspec.DecodeError or RecursionError
    """
    return _REPLY_DECODER.decode(data)
