"""Let the kernel drop whatever arrives at one TCP socket."""

import ctypes
import socket
import struct

SO_ATTACH_FILTER = 26
# One instruction of a classic BPF program: return 0, accept no byte.
RETURN_NOTHING = struct.pack("HBBI", 0x06, 0, 0, 0)


def drop_input(sock):
    """Drop all segments that arrive, so that none is acknowledged."""
    code = ctypes.create_string_buffer(RETURN_NOTHING)
    program = struct.pack("HP", 1, ctypes.addressof(code))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
