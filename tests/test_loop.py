"""How messages are delivered within a turn of the event loop."""

from __future__ import annotations

import socket

from snowwick.net.loop import MAX_MAIL_ROUNDS, Actor, Coroutine, Loop, Wait


class ForwardingActor(Actor):
    """Forwards each message to another actor, as the two sides of a connection do."""

    def __init__(self, loop: Loop, sock: socket.socket | None = None) -> None:
        super().__init__(loop)
        self.sock, self.target, self.message_count = sock, self, 0  # the target itself: nothing is forwarded

    def run(self) -> Coroutine:
        while True:
            yield Wait(self.sock, read=self.sock is not None)
            for message in self.take_messages() if self.sock is None else [self.sock.recv(16)]:
                self.message_count += 1
                if self.target is not self:
                    self.target.post(message)


def test_line_reaches_the_other_side_in_the_turn_in_which_it_arrives() -> None:
    loop = Loop()
    near_end, far_end = socket.socketpair()
    with near_end, far_end:
        first, second = ForwardingActor(loop, near_end), ForwardingActor(loop)
        first.target = second
        for actor in (first, second):
            actor.start()
        loop.run_once(0.0)
        far_end.send(b"line\r\n")
        loop.run_once(1.0)
        assert second.message_count == 1
        loop.close()


def test_actors_that_post_to_each_other_without_end_do_not_starve_the_sockets() -> None:
    loop = Loop()
    first, second = ForwardingActor(loop), ForwardingActor(loop)
    first.target, second.target = second, first
    for actor in (first, second):
        actor.start()
    loop.run_once(0.0)
    first.post("again")
    loop.run_once(0.0)
    assert first.message_count + second.message_count == MAX_MAIL_ROUNDS
    loop.close()
