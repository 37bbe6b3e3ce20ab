"""Control messages between nodes.

A message is a msgspec struct encoded as a MessagePack array with its type's
tag first. Decoding checks every field, so the core sees typed values only.
Relative ages are sent instead of times, because clocks of nodes differ.
"""

import msgspec

MAX_MESSAGE_BYTES = 1_200_000


class MessageError(Exception):
    """Bytes from a peer that are no valid control message.

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
    failure_domain, reader : str
    incarnation : int
        Start time of the reader's process in milliseconds since the epoch.
    sequence : int
        Rises with each heartbeat of one incarnation.
    source : str
        ``up``, ``down`` or ``stale``.
    held : list of KeyVersion
        What the source gave.
    confirmed_age_ms : int
        Time since the source last confirmed all of it.
    held_ages_ms : list of int
        The same for each entry of `held`. The keys are read independently, so
        the oldest age says nothing of which version of another key is newer.
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
    """A version to push down the tree of `root`.

    `delta` is empty on the lazy tree; `base` is the digest it applies to.
    """

    root: str
    held: KeyVersion
    heartbeat: Heartbeat
    base: str = ""
    delta: bytes = b""


class Acknowledge(msgspec.Struct, frozen=True, array_like=True, tag="ack"):
    """An announcement has arrived."""

    root: str
    held: KeyVersion


class HeartbeatRelay(msgspec.Struct, frozen=True, array_like=True, tag="heartbeat"):
    """A heartbeat on its way down the tree of its reader."""

    heartbeat: Heartbeat


class DigestQuery(msgspec.Struct, frozen=True, array_like=True, tag="digest"):
    """What the sender holds; the receiver answers with `DigestReply`.

    `ages_ms` gives, for each entry of `held`, the time since a reader first got
    it from the source, as far as the sender knows.
    """

    held: list[KeyVersion]
    heartbeats: list[Heartbeat]
    ages_ms: list[int] = []


class DigestReply(msgspec.Struct, frozen=True, array_like=True, tag="digest-reply"):
    """What the receiver of a `DigestQuery` holds.

    `running` tells whether the sender has completed its join; `ages_ms` is as in
    `DigestQuery`.
    """

    held: list[KeyVersion]
    heartbeats: list[Heartbeat]
    running: bool
    ages_ms: list[int] = []


class Fetch(msgspec.Struct, frozen=True, array_like=True, tag="fetch"):
    """Asks for a text by digest, as a difference from `base` if possible.

    `older` has further digests that the sender can apply a difference to. In a
    burst two readers take different versions, so the newest may be unknown to
    the receiver.
    """

    key: str
    digest: str
    base: str = ""
    offset: int = 0
    older: tuple[str, ...] = ()


class Piece(msgspec.Struct, frozen=True, array_like=True, tag="piece"):
    """Part of a compressed text, or a whole difference if `base` is set."""

    key: str
    version: int
    digest: str
    base: str
    offset: int
    total: int
    data: bytes


class Busy(msgspec.Struct, frozen=True, array_like=True, tag="busy"):
    """A fetch that is not served now."""

    key: str
    digest: str
    retry_after_ms: int


class CrashReport(msgspec.Struct, frozen=True, array_like=True, tag="crash"):
    """Crashes of backend servers that a fingerprint is suspected of.

    `crashes` counts those that the reporter saw at its own backend server; 0
    says that the suspect has completed there. `sole` counts those in which it
    was the only request in flight.
    """

    service: str
    failure_domain: str
    fingerprint: str
    crashes: int
    reporter: str
    refused_for_ms: int = 0
    sole: int = 0


class Leaving(msgspec.Struct, frozen=True, array_like=True, tag="leaving"):
    """The sender's instance takes no new work, or takes it again.

    `is_back` is sent by a new process of the instance once it serves.
    """

    instance: str
    is_back: bool = False


class FenceQuery(msgspec.Struct, frozen=True, array_like=True, tag="fence"):
    """Asks for a promise that the receiver has not run and never runs a key."""

    service: str
    idempotency_key: str
    request: int


class FenceReply(msgspec.Struct, frozen=True, array_like=True, tag="fence-reply"):
    """Answer to `FenceQuery`."""

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
        If `data` is too long or no valid message.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise MessageError(f"message of {len(data)} bytes, limit {MAX_MESSAGE_BYTES}")
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError as exc:
        raise MessageError(str(exc)) from exc
