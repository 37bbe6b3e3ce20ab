"""Decision whether the link of a machine takes another large request body.

The load this addresses: uploads of 60 kB, in bursts of 2.5 times the usual rate, at a
few workers behind links of 5 Mbit/s. Workers with free slots would accept them
all, and the bodies would fill the links for seconds. Calls of a few hundred bytes to
the same workers would wait behind them until their time limit, and their parents fail.
"""

# Body from which a request counts as large, in bytes. Smaller ones take a link of
# 5 Mbit/s for less than 30 ms.
LARGE_BODY_BYTES = 16_384
# Share of a link that request bodies may take; the rest is left for other messages.
USABLE_SHARE = 0.7
# Time for which large bodies may occupy a link, in seconds. The calls that share it
# have objectives of about 0.3 s.
MAX_OCCUPIED_S = 0.25
# Longest time that a request with a large body waits for replies, in seconds. It is not
# sent without one: a reply that is late shows that the link is full.
MAX_LARGE_REPLY_WAIT_S = 0.25
# Time for which an accepted body counts until it begins to arrive, in seconds.
RESERVATION_S = 0.1
# Share of the accepted bodies that come: a request asks several workers.
ARRIVING_SHARE = 0.2
_BYTES_PER_MEGABIT = 125_000


class BodyFlow:
    """Admits large bodies to a machine by the speed of its link.

    Parameters
    ----------
    link_mbps : float
        Speed of the machine's link, in megabits per second; 0 if it is unknown, so
        that every body is admitted.
    """

    __slots__ = ("_bytes_per_s", "_reserved")

    def __init__(self, link_mbps: float):
        self._bytes_per_s = link_mbps * _BYTES_PER_MEGABIT * USABLE_SHARE
        # Accepted bodies, each with the time at which it no longer counts.
        self._reserved: list[tuple[float, int]] = []

    def admit(
        self, body_bytes: int, incoming_bytes: int, now: float
    ) -> tuple[bool, float]:
        """Decide on a request that another node wants to send.

        A body that is alone is accepted at any size.

        Parameters
        ----------
        body_bytes : int
            Bytes of the request body.
        incoming_bytes : int
            Bytes of messages that have begun to arrive and are not complete.
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        bool, float
            Whether the body may be sent, and the expected time in seconds until it
            has arrived, or after which it may be sent otherwise.
        """
        if body_bytes < LARGE_BODY_BYTES or not self._bytes_per_s:
            return True, 0.0
        self._reserved = [pair for pair in self._reserved if pair[0] > now]
        reserved = ARRIVING_SHARE * sum(size for _, size in self._reserved)
        ahead_s = (incoming_bytes + reserved) / self._bytes_per_s
        own_s = body_bytes / self._bytes_per_s
        if ahead_s and ahead_s + own_s > MAX_OCCUPIED_S:
            return False, ahead_s + own_s - MAX_OCCUPIED_S
        self._reserved.append((now + RESERVATION_S, body_bytes))
        return True, ahead_s + own_s
