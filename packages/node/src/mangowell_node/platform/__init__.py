"""Names, formats and calls of the platform.

This package only encodes and decodes; it makes no decisions. Its wire names are
decoded once, into the types of `mangowell_core.mesh`, and are used nowhere else.
"""

from mangowell_node.platform.document import (
    PlatformFormatError,
    decode_document,
    decode_endpoint,
)
from mangowell_node.platform.headers import (
    READY_PATH,
    CallerFields,
    PlatformDialect,
    read_caller_fields,
    write_refusal_fields,
)
from mangowell_node.platform.store import (
    Changes,
    HistoryGoneError,
    Item,
    Listing,
    StoreClient,
    StoreError,
)

__all__ = [
    "READY_PATH",
    "CallerFields",
    "Changes",
    "HistoryGoneError",
    "Item",
    "Listing",
    "PlatformDialect",
    "PlatformFormatError",
    "StoreClient",
    "StoreError",
    "decode_document",
    "decode_endpoint",
    "read_caller_fields",
    "write_refusal_fields",
]
