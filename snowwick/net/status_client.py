"""Requests the status of one balancer through its fleet link, for operators' tools."""

from __future__ import annotations

import json
import random
import socket
import time
from typing import Any

from snowwick.fleet import wire
from snowwick.fleet.file import FleetFile
from snowwick.net.pool_config import parse_address

MAX_TRIES = 5  # times that one part of the status is requested
REPLY_TIMEOUT_S = 0.4  # after which a part is requested again


def request_status(file: FleetFile, address: str, rng: random.Random) -> dict[str, Any]:
    """Return the status of the balancer at ``address``; raises TimeoutError where it does not answer.

    The requester is not a member: it uses a random name, and the balancer replies to the address that the
    request came from.
    """
    request_number, boot = rng.getrandbits(62), rng.getrandbits(62) | 1
    name, parts, part_count, seq = f"status-{request_number:x}", dict[int, bytes](), 1, 0
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.settimeout(REPLY_TIMEOUT_S)
        while len(parts) < part_count:
            part = min(set(range(part_count)) - parts.keys())
            for _ in range(MAX_TRIES):
                seq += 1
                frame = wire.Frame(name, "", 0, boot, seq, "", 0, wire.StatusRequest(request_number, part))
                sock.sendto(wire.seal(frame, file.keys[0]), parse_address(address))
                reply = _receive_reply(sock, file, request_number)
                if reply is not None:
                    part_count, parts[reply.part] = reply.part_count, reply.text
                    break
            else:
                raise TimeoutError(f"no answer from {address}")
    status: dict[str, Any] = json.loads(b"".join(parts[index] for index in range(part_count)))
    return status


def _receive_reply(sock: socket.socket, file: FleetFile, number: int) -> wire.StatusReply | None:
    """Return the next reply to the request with this number, or None where none comes in time."""
    deadline = time.monotonic() + REPLY_TIMEOUT_S
    while time.monotonic() < deadline:
        try:
            frame = wire.unseal(sock.recv(wire.MAX_FRAME_BYTES + 1), file.keys)
        except (TimeoutError, ConnectionError):
            return None
        except wire.FrameDropped:
            continue
        if isinstance(frame.body, wire.StatusReply) and frame.body.number == number:
            return frame.body
    return None
