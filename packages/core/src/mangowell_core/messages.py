"""Control messages between nodes.

A message is a msgspec struct, encoded as a MessagePack array that starts with the
tag of its type. Decoding checks the type of every field, so the core gets typed
values only. Messages carry ages instead of times, because the clocks of nodes differ.
"""

import msgspec

MAX_MESSAGE_BYTES = 1_200_000


class MessageError(Exception):
    """Bytes from a peer that are not a valid control message.

    Raised by `decode_message`; the receiver counts and drops the bytes.
    """


class KeyVersion(msgspec.Struct, frozen=True, array_like=True):
    """Version and digest of one key that a node holds.

    `version` is the document's version, or the instance list's revision.
    """

    key: str
    version: int
    digest: str


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """What a reader last learned from the configuration service.

    Parameters
    ----------
    failure_domain : str
        Failure domain of the reader.
    reader : str
        Instance name of the reader.
    incarnation : int
        Start time of the reader's process in milliseconds since the epoch.
    sequence : int
        Increases with each heartbeat of one incarnation.
    source : str
        ``up``, ``down`` or ``stale``.
    held : list of KeyVersion
        Versions that the source returned.
    confirmed_age_ms : int
        Time since the source last confirmed all entries of `held`.
    held_ages_ms : list of int
        Time since the source last confirmed each entry of `held`. The keys are
        read independently, so the age of one key does not tell which version of
        another key is newer.
    """

    failure_domain: str
    reader: str
    incarnation: int
    sequence: int
    source: str
    held: list[KeyVersion]
    confirmed_age_ms: int
    held_ages_ms: list[int] = []


class Announce(msgspec.Struct, frozen=True, array_like=True, tag="announce"):
    """Announces a version to the children in the spreading tree of `root`.

    `delta` may be empty; the lazy tree carries small deltas only. `base` is the
    digest of the text that `delta` applies to.
    """

    root: str
    held: KeyVersion
    heartbeat: Heartbeat
    base: str = ""
    delta: bytes = b""


class Acknowledge(msgspec.Struct, frozen=True, array_like=True, tag="ack"):
    """Confirms that an `Announce` has arrived."""

    root: str
    held: KeyVersion


class HeartbeatRelay(msgspec.Struct, frozen=True, array_like=True, tag="heartbeat"):
    """Relays a heartbeat down the spreading tree of its reader."""

    heartbeat: Heartbeat


class DigestQuery(msgspec.Struct, frozen=True, array_like=True, tag="digest"):
    """Tells what the sender holds; the receiver answers with a `DigestReply`.

    `ages_ms` has, for each entry of `held`, the time since a reader first got
    the version from the source, as far as the sender knows.
    """

    held: list[KeyVersion]
    heartbeats: list[Heartbeat]
    ages_ms: list[int] = []


class DigestReply(msgspec.Struct, frozen=True, array_like=True, tag="digest-reply"):
    """Tells what the receiver of a `DigestQuery` holds.

    `running` says whether the sender of the reply has completed its join.
    `ages_ms` has the same meaning as in `DigestQuery`.
    """

    held: list[KeyVersion]
    heartbeats: list[Heartbeat]
    running: bool
    ages_ms: list[int] = []


class Fetch(msgspec.Struct, frozen=True, array_like=True, tag="fetch"):
    """Requests a text by its digest, as a delta from `base` if possible.

    `older` lists the digests of further texts that the sender can apply a delta
    to. In a burst of changes two readers may read different versions, so the
    receiver may not know the newest text of the sender.
    """

    key: str
    digest: str
    base: str = ""
    offset: int = 0
    older: tuple[str, ...] = ()


class Piece(msgspec.Struct, frozen=True, array_like=True, tag="piece"):
    """Part of a compressed text, or a complete delta if `base` is set."""

    key: str
    version: int
    digest: str
    base: str
    offset: int
    total: int
    data: bytes


class Busy(msgspec.Struct, frozen=True, array_like=True, tag="busy"):
    """Declines a `Fetch`, which may be repeated after `retry_after_ms`."""

    key: str
    digest: str
    retry_after_ms: int


class CrashReport(msgspec.Struct, frozen=True, array_like=True, tag="crash"):
    """Reports backend server crashes that a request fingerprint may have caused.

    `crashes` counts the crashes of the reporter's own backend server; 0 means that
    a request with the fingerprint has completed there. `sole` counts the crashes
    in which it was the only request in flight.
    """

    service: str
    failure_domain: str
    fingerprint: str
    crashes: int
    reporter: str
    refused_for_ms: int = 0
    sole: int = 0


class Leaving(msgspec.Struct, frozen=True, array_like=True, tag="leaving"):
    """Tells that the sender's instance accepts no new work, or accepts it again.

    A new process of the instance sends `is_back` once it serves calls.
    """

    instance: str
    is_back: bool = False


class FenceQuery(msgspec.Struct, frozen=True, array_like=True, tag="fence"):
    """Asks the receiver to promise that it has not run and never runs a key."""

    service: str
    idempotency_key: str
    request: int


class FenceReply(msgspec.Struct, frozen=True, array_like=True, tag="fence-reply"):
    """Answers a `FenceQuery`; `promised` tells whether the promise is given."""

    service: str
    idempotency_key: str
    request: int
    promised: bool


Message = (
    Announce
    | Acknowledge
    | HeartbeatRelay
    | DigestQuery
    | DigestReply
    | Fetch
    | Piece
    | Busy
    | CrashReport
    | Leaving
    | FenceQuery
    | FenceReply
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Encode a control message."""
    return _encoder.encode(message)


def decode_message(data: bytes) -> Message:
    """Decode a control message from a peer.

    Raises
    ------
    MessageError
        If `data` exceeds `MAX_MESSAGE_BYTES` or is not a valid message.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise MessageError(
            f"message has {len(data)} bytes, expected at most {MAX_MESSAGE_BYTES}"
        )
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError as exc:
        raise MessageError(str(exc)) from exc
