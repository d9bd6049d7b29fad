"""An operator's question to one balancer over its fleet link; the tool's side."""

from __future__ import annotations

import json
import random
import socket
import time
from typing import Any

from snowwick.fleet import wire
from snowwick.fleet.file import FleetFile
from snowwick.net.pool import parse_address

MAX_TRIES, REPLY_TIMEOUT_S = 5, 0.4  # times that a part is asked for; s until it is asked for again


def request_status(file: FleetFile, address: str, rng: random.Random) -> dict[str, Any]:
    """How things stand at the balancer there; raises TimeoutError where it does not answer.

    The tool is no member: it has a name that no member has, and the answer comes to where it asks from.
    """
    number, boot = rng.getrandbits(62), rng.getrandbits(62) | 1
    name, parts, wanted, seq = f"status-{number:x}", dict[int, bytes](), 1, 0
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.settimeout(REPLY_TIMEOUT_S)
        while len(parts) < wanted:
            part = min(set(range(wanted)) - parts.keys())
            for _ in range(MAX_TRIES):
                seq += 1
                frame = wire.Frame(name, "", 0, boot, seq, "", 0, wire.StatusRequest(number, part))
                sock.sendto(wire.seal(frame, file.keys[0]), parse_address(address))
                told = _receive_reply(sock, file, number)
                if told is not None:
                    wanted, parts[told.part] = told.part_count, told.text
                    break
            else:
                raise TimeoutError(f"no answer from {address}")
    found: dict[str, Any] = json.loads(b"".join(parts[n] for n in range(wanted)))
    return found


def _receive_reply(sock: socket.socket, file: FleetFile, number: int) -> wire.StatusReply | None:
    until = time.monotonic() + REPLY_TIMEOUT_S
    while time.monotonic() < until:
        try:
            frame = wire.unseal(sock.recv(wire.MAX_FRAME_BYTES + 1), file.keys)
        except (TimeoutError, ConnectionError):
            return None
        except wire.FrameDropped:
            continue
        if isinstance(frame.body, wire.StatusReply) and frame.body.number == number:
            return frame.body
    return None
