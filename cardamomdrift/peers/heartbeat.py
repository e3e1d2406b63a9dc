"""
Heartbeats
==========

Daemons send each other heartbeats several times a second, by datagram: the newest one
replaces all earlier ones, and there is no connection that could hang.  A heartbeat
echoes the receiver's last stamp.  This proves to the receiver the earliest time at
which the heartbeat can have been sent.
"""

import asyncio

import msgspec

from cardamomdrift.util import DECODE_ERRORS, DIGEST_MASK, hash_number

DATAGRAM_SIZE_LIMIT = 60_000  # bytes
# Raised with each change of the fields below that daemons of an older version would
# misunderstand; they pass over fields that are added at the end.
HEARTBEAT_FORMAT = 4
SHORT_HEARTBEAT_FORMAT = 64 + HEARTBEAT_FORMAT
# First bytes of msgpack arrays of up to 15 values.  Only a short heartbeat is one.
SHORT_ARRAYS = range(0x90, 0xA0)


class GroupClaim(msgspec.Struct, array_like=True, frozen=True):
    """What a daemon knows about a database group; times are in milliseconds.

    Attributes
    ----------
    generation : int
        Number of the last replacement of the group's primary that it knows.
    settled : bool
        Whether that replacement is complete, so that ``primary`` may be used.
    term : int
    primary : str
    released : int
        Highest generation for which it uses no earlier primary any more.
    position : (int, int) or None
        Position that the primary's log had reached.
    position_age_ms : int
        Upper bound on the age of ``position``.
    contact_age_ms : int or None
        How long ago the primary last answered it.
    silence_ms : int
        For how long the primary has left it without an answer.
    """

    generation: int
    settled: bool
    term: int
    primary: str
    released: int
    position: tuple[int, int] | None = None
    position_age_ms: int = 0
    contact_age_ms: int | None = None
    silence_ms: int = 0


class Heartbeat(msgspec.Struct, array_like=True, frozen=True):
    """A daemon's state; stamps are in milliseconds of its boot clock.

    Attributes
    ----------
    format : int
        ``HEARTBEAT_FORMAT`` of the sender; those of another format are dropped.
    sender : str
    incarnation : str
        Changes when the daemon starts or registers again.
    stamp : int
        When it was sent.
    echo_incarnation : str
        Incarnation of the receiver that the echo belongs to; empty without an echo.
    echo : int
        Newest stamp of the receiver; 0 without an echo.
    echo_delay_ms : int
        Time from the arrival of the echoed stamp to this heartbeat.
    members_digest : int
        Hash of the names and addresses of the daemons that the sender counts.
    members : dict of str to str or None
        Address of each of them, the sender included.  None unless the sender is the
        voter that informs the receiver, and the receiver's last heartbeat had another
        hash.
    epoch : int
        Epoch of the voters that the sender knows.
    voters : tuple of str or None
        Names of these voters; None if the receiver's last heartbeat had this epoch.
    promised_epoch : int
        Epoch for which the heartbeat is a promise if the sender is a voter; 0 for none.
    confirmed_age_ms : int or None
        How long ago the sender's own newest read of the store began.  All its claims
        take the read into account.  None before the first read of its process.
    listed : bool
        Whether the receiver was registered in that read.
    store_reachable : bool
    version : int
        Version of the configuration in force.
    list_changed : int
        Version of the last change of the list of instances that the sender knows.
    list_age_ms : int
        How long ago the sender's list was last known to be current.
    stopping : bool
        Whether the sender is about to stop.
    leaving : bool
        Whether the sender promotes no instance any more.
    leaderships_digest : int
        Hash of the groups' leaderships as the sender knows them.
    groups : dict of str to GroupClaim
        Only groups about which the receiver may lack this information.
    silent : tuple of str or None
        Daemons that the sender has not heard lately, if it is the voter that informs
        the receiver.
    proof_age_ms : int or None
        Upper bound on how long ago ``version`` was proved to be the newest one; None
        without a proof, or if none is needed.
    uptime_ms : int or None
        For how long the sender's process has run; this and the next two are rounded
        down, see `peers.restart`.  None without quotas.
    view_age_ms : int or None
        How long ago the sender began to count other members than before; None if it
        still counts those that it knew first.
    restart_age_ms : int or None
        How long only present processes of all members have acted, as the sender knows
        as a voter; None without evidence.
    known_state : int or None
        Hash of the receiver's state that the sender has; None without one.
    replicas : dict of str to (int, int, int) or None
        Term, sequence number and age in milliseconds of positions of replicas that lag
        or have just caught up, by instance; see `peers.replica_news`.
    failure_domain : str
        Failure domain of the sender; empty in heartbeats of an older version.
    domains_digest : int or None
        Hash of the failure domains that the sender knows; None in heartbeats of an
        older version.
    domains : tuple of str or None
        Failure domains of ``members``, in the order of their names; empty where not
        known.
    """

    format: int
    sender: str
    incarnation: str
    stamp: int
    echo_incarnation: str
    echo: int
    echo_delay_ms: int
    members_digest: int
    members: dict[str, str] | None
    epoch: int
    voters: tuple[str, ...] | None
    promised_epoch: int
    confirmed_age_ms: int | None
    listed: bool
    store_reachable: bool
    version: int
    list_changed: int
    list_age_ms: int
    stopping: bool
    leaving: bool
    leaderships_digest: int
    groups: dict[str, GroupClaim]
    silent: tuple[str, ...] | None
    proof_age_ms: int | None = None
    uptime_ms: int | None = None
    view_age_ms: int | None = None
    restart_age_ms: int | None = None
    known_state: int | None = None
    # Receivers of an older version pass over the fields from here on.
    replicas: dict[str, tuple[int, int, int]] | None = None
    failure_domain: str = ""
    domains_digest: int | None = None
    domains: tuple[str, ...] | None = None


class ShortHeartbeat(msgspec.Struct, array_like=True, frozen=True):
    """A heartbeat whose receiver has the sender's state; see `short_heartbeat`.

    Attributes
    ----------
    format : int
        ``SHORT_HEARTBEAT_FORMAT`` of the sender.
    sender : bytes
        Hash of the sender's name and incarnation.
    state : int
        Hash of the sender's state.
    stamp, echo, echo_delay_ms, known_state : int
        As in a full heartbeat.
    ages : tuple of int or None
        Fields ``AGE_FIELDS`` of `short_heartbeat`, as in a full heartbeat.
    """

    format: int
    sender: bytes
    state: int
    stamp: int
    echo: int
    echo_delay_ms: int
    known_state: int | None
    ages: tuple[int | None, ...]


def hash_members(members):
    """Return a 32-bit hash of daemons' names and addresses."""
    parts = (f"{name}={address}" for name, address in sorted(members.items()))
    return hash_number(*parts) & DIGEST_MASK


def hash_leaderships(leaderships):
    """Return a 32-bit hash of groups' primaries and released generations."""
    parts = (
        f"{lead.group}={lead.generation}/{lead.settled}/{lead.primary}/{lead.released}"
        for lead in sorted(leaderships, key=lambda lead: lead.group)
    )
    return hash_number(*parts) & DIGEST_MASK


class _HeartbeatProtocol(asyncio.DatagramProtocol):
    """Passes on the datagrams received; failures to send are only logged.

    The next heartbeat replaces a lost one.
    """

    def __init__(self, on_data, log):
        self._on_data = on_data
        self._log = log

    def datagram_received(self, data, address):
        self._on_data(data, address[0])

    def error_received(self, error):
        self._log.debug("heartbeat not delivered", error=str(error))


class HeartbeatPort:
    """Sends and receives heartbeats; an async context manager.

    Parameters
    ----------
    address : str
    port : int
        The same on every VM.
    on_heartbeat : callable
        Takes a Heartbeat or ShortHeartbeat and the address that it came from.
    log : structlog logger
    """

    def __init__(self, address, port, on_heartbeat, log):
        self._address = address
        self._port = port
        self._on_heartbeat = on_heartbeat
        self._log = log
        self._transport = None
        self._encode = msgspec.msgpack.Encoder().encode
        self._decode = msgspec.msgpack.Decoder(Heartbeat).decode
        self._decode_short = msgspec.msgpack.Decoder(ShortHeartbeat).decode
        self.sent_bytes = 0

    @property
    def port(self):
        """Port for heartbeats, the same on every VM."""
        return self._port

    async def __aenter__(self):
        self._transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: _HeartbeatProtocol(self._receive, self._log),
            local_addr=(self._address, self._port),
        )
        return self

    async def __aexit__(self, *exc_info):
        self._transport.close()

    def send(self, address, heartbeat):
        """Send a heartbeat to a daemon; one that is too large is only logged."""
        data = self._encode(heartbeat)
        if len(data) > DATAGRAM_SIZE_LIMIT:
            self._log.error(
                "heartbeat too large", size=len(data), limit=DATAGRAM_SIZE_LIMIT
            )
            return
        self.sent_bytes += len(data)
        self._transport.sendto(data, (address, self._port))

    def _decode_any(self, data):
        """Return a full or short heartbeat, and the format that it must have."""
        if data and data[0] in SHORT_ARRAYS:
            return self._decode_short(data), SHORT_HEARTBEAT_FORMAT
        return self._decode(data), HEARTBEAT_FORMAT

    def _receive(self, data, source):
        try:
            heartbeat, expected_format = self._decode_any(data)
        except DECODE_ERRORS:
            self._log.warning("heartbeat not understood", size=len(data))
            return
        if heartbeat.format != expected_format:
            self._log.warning("heartbeat of another format", format=heartbeat.format)
            return
        self._on_heartbeat(heartbeat, source)
