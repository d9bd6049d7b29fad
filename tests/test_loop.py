"""How the loop's turns carry mail."""

from __future__ import annotations

import socket

from snowwick.net.loop import MAX_MAIL_ROUNDS, Actor, Coroutine, Loop, Wait


class Relay(Actor):
    """Passes each message on to the next actor, as the two ends of a connection do."""

    def __init__(self, loop: Loop, sock: socket.socket | None = None) -> None:
        super().__init__(loop)
        self.sock, self.next, self.seen = sock, self, 0

    def run(self) -> Coroutine:
        while True:
            yield Wait(self.sock, read=self.sock is not None)
            for message in self.take_messages() if self.sock is None else [self.sock.recv(16)]:
                self.seen += 1
                if self.next is not self:
                    self.next.post(message)


def test_a_line_passes_to_the_other_side_in_the_turn_in_which_it_came() -> None:
    loop = Loop()
    near, far = socket.socketpair()
    with near, far:
        first, second = Relay(loop, near), Relay(loop)
        first.next = second
        for actor in (first, second):
            actor.start()
        loop.run_once(0.0)
        far.send(b"line\r\n")
        loop.run_once(1.0)
        assert second.seen == 1
        loop.close()


def test_actors_that_write_to_each_other_without_end_do_not_keep_the_sockets_waiting() -> None:
    loop = Loop()
    one, two = Relay(loop), Relay(loop)
    one.next, two.next = two, one
    for actor in (one, two):
        actor.start()
    loop.run_once(0.0)
    one.post("again")
    loop.run_once(0.0)
    assert one.seen + two.seen == MAX_MAIL_ROUNDS
    loop.close()
