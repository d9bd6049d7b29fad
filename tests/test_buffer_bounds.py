"""What a connection may hold in memory while one of its sides does not read."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

import pytest
from wire import UP, World

from snowwick.net.delay_monitor import MAX_PENDING_LINES
from snowwick.net.destination import Destination
from snowwick.net.front import Front
from snowwick.net.lines import MAX_LINE_BYTES
from snowwick.net.peer import LinePeer

# Each of the two directions of a connection holds at most one begun line and one read of input, and as
# unsent output the high-water mark, one read and the line that this read has completed.
MAX_BUFFERED_BYTES = 2 * (5 * MAX_LINE_BYTES)


def peers(world: World) -> Iterator[LinePeer]:
    return (actor for actor in world.loop.actors if isinstance(actor, Front | Destination))


@pytest.mark.parametrize("length", [1, 60, 4000])
@pytest.mark.parametrize("senders", [["c1"], ["d1"], ["c1", "d1"]])
def test_connection_whose_other_side_does_not_read_holds_a_bounded_number_of_bytes(
    world: World, senders: list[str], length: int
) -> None:
    """Guards against a process that passes its memory limit while hundreds of peers do not read."""
    world.play(UP)
    data = (b"x" * length + b"\r\n") * (65536 // length)
    unsent = {name: b"" for name in senders}
    idle_turns = 0
    while idle_turns < 20:
        sent_bytes = 0
        for name in senders:
            with contextlib.suppress(BlockingIOError):
                unsent[name] = unsent[name] or data
                sent = world.sockets[name].send(unsent[name])
                unsent[name] = unsent[name][sent:]
                sent_bytes += sent
        idle_turns = 0 if sent_bytes else idle_turns + 1
        world.loop.run_once(0.001)
        buffered = sum(len(peer.input_buffer) + len(peer.output_buffer) for peer in peers(world))
        assert buffered <= MAX_BUFFERED_BYTES
        assert all(
            len(peer.timing.pending) <= MAX_PENDING_LINES
            for peer in peers(world)
            if isinstance(peer, Destination)
        )
