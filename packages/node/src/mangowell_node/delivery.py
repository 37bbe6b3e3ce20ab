"""Bytes that were written to a connection and have not reached the peer."""

import asyncio
import fcntl
import struct
import termios


def count_undelivered(transport: asyncio.Transport) -> int:
    """Return how many written bytes the peer's TCP has not acknowledged.

    Parameters
    ----------
    transport : asyncio.Transport
        Transport of a TCP connection.

    Returns
    -------
    int
        Bytes that wait in the process or in the kernel. If the kernel gives no
        answer, only those in the process.
    """
    buffered = transport.get_write_buffer_size()
    try:
        fd = transport.get_extra_info("socket").fileno()
        queued = fcntl.ioctl(fd, termios.TIOCOUTQ, bytes(4))
    except (AttributeError, OSError):
        return buffered
    return buffered + struct.unpack("i", queued)[0]
