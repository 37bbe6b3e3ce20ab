"""Numbered events, which the log and ``mangowell explain`` show.

``docs/events.md`` lists them. The number of a code never changes.
"""

from dataclasses import dataclass, field
from enum import IntEnum


class EventCode(IntEnum):
    """Number of an event.

    1xx: source, 2xx: distribution, 3xx: membership, 4xx: joining and
    stopping, 5xx: calls, 6xx: backend servers, 7xx: peers and security,
    8xx: the process itself.
    """

    SOURCE_UP = 101
    SOURCE_DOWN = 102
    SOURCE_STALE = 103
    SOURCE_RESTORED = 104
    READER_STARTED = 111
    READER_STOPPED = 112
    VERSION_SEEN = 201
    VERSION_APPLIED = 202
    VERSION_REFUSED = 203
    VERSION_STALE = 204
    VERSION_CONFLICT = 205
    VERSION_HELD = 206
    ROUTE_ASSUMED = 207
    CHILD_SKIPPED = 211
    REPAIR_FETCH = 212
    STATE_DIFFERS = 213
    INSTANCES_APPLIED = 301
    INSTANCES_DOUBTED = 302
    INSTANCES_CONFIRMED = 303
    INSTANCE_REMOVED = 304
    EVACUATION_STARTED = 311
    EVACUATION_ENDED = 312
    JOIN_STARTED = 401
    JOIN_COMPLETED = 402
    JOIN_ALONE = 403
    PAUSE_DETECTED = 411
    PAUSE_CLEARED = 412
    STOP_STARTED = 421
    STOP_COMPLETED = 422
    SETTINGS_RELOADED = 423
    SETTINGS_REFUSED = 424
    SETTING_REPLACED = 425
    NODE_ISOLATED = 431
    NODE_REJOINED = 432
    CALLERS_LIMITED = 441
    CONNECTIONS_CLOSED = 442
    CALL_REFUSED = 501
    CALL_RETRIED = 502
    CALL_UNKNOWN = 503
    CALL_SHED = 504
    CALL_LATE = 505
    CALL_CUT = 506
    CALL_MISDIRECTED = 507
    CLASS_FULL = 508
    KEY_REPLAYED = 511
    KEY_REFUSED = 512
    FINGERPRINT_SUSPECT = 521
    FINGERPRINT_REFUSED = 522
    BACKEND_UP = 601
    BACKEND_DOWN = 602
    BACKEND_EJECTED = 603
    BACKEND_RETURNED = 604
    BACKEND_LEAVING = 605
    BACKEND_LIMITED = 606
    BACKEND_UNLIMITED = 607
    BACKEND_COLD = 611
    BACKEND_WARM = 612
    LINK_OPENED = 701
    LINK_SILENT = 702
    LINK_CLOSED = 703
    PEER_MESSAGE_DROPPED = 711
    PEER_REFUSED = 712
    EVENTS_OMITTED = 801
    INTERNAL_FAULT = 802
    TASK_FAILED = 803


@dataclass(slots=True, frozen=True)
class Event:
    """Action or observation of a node, with its reason.

    Parameters
    ----------
    code : EventCode
    fields : dict
        Names and values, such as ``version``, ``digest``, ``peer``,
        ``request``, ``backend``, ``reason``. Values are str, int or float.
    """

    code: EventCode
    fields: dict[str, str | int | float] = field(default_factory=dict)
