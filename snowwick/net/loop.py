"""One thread: epoll for sockets, timers on the library's scheduler, generators as coroutines.

An actor is a generator with a mailbox.  It yields a ``Wait`` and is resumed with flags that say what came:
its socket is readable or writable, there is mail, or the time is up.  Each wait has a timer of its own
(net/timers.py), cancelled when the wait ends.
"""

from __future__ import annotations

import select
import socket
import time
import traceback
from collections import deque
from collections.abc import Callable, Generator
from dataclasses import dataclass
from typing import Any

from snowwick.log import Log
from snowwick.net.timers import Timers

READABLE, WRITABLE, MAIL, TIMED_OUT = 1, 2, 4, 8
MAX_MAIL_ROUNDS = (
    4  # of mail that a turn carries on before it looks at sockets again: a line passes in two, and what
)
# makes room for the next in one more; bounded, so that actors that write to each other hold up nobody


@dataclass(slots=True)
class Wait:
    """What an actor waits for, besides its mail; ``until`` is on the loop's clock, in seconds."""

    sock: socket.socket | None = None
    read: bool = False
    write: bool = False
    until: float | None = None


Coroutine = Generator[Wait, int, None]


class Actor:
    """A coroutine with a mailbox.  It owns at most one socket at a time."""

    restart_after_fault = False  # begins again after a fault: the program is of no use without it

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.mailbox: deque[Any] = deque()
        self.coroutine: Coroutine | None = None
        self.timer: int | None = None
        self.not_started, self.waiting, self.wake_flags = True, False, 0
        self.registered_fd, self.registered_events = -1, 0

    def run(self) -> Coroutine:
        raise NotImplementedError

    def start(self) -> None:
        self.coroutine, self.not_started = self.run(), True
        self.loop.actors.add(self)
        self.loop.ready.append(self)

    def post(self, message: object) -> None:
        """Leave a message; an actor that has ended takes no more."""
        if self.coroutine is not None:
            self.mailbox.append(message)
            self.loop.wake(self, MAIL)

    def sleep_until(self, until: float) -> Coroutine:
        """Wait for a time, whatever mail comes meanwhile."""
        while self.loop.clock() < until:
            yield Wait(until=until)

    def take_messages(self) -> Generator[Any, None, None]:
        """The messages in the mailbox, oldest first."""
        while self.mailbox:
            yield self.mailbox.popleft()


class Loop:
    """Runs actors until there are none left or ``stop`` is called."""

    def __init__(self, log: Log | None = None, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock, self.log = clock, log or Log()
        self.timers: Timers[Actor] = Timers(clock, self._on_timeout)
        self.epoll = select.epoll()
        self.actors_by_fd: dict[int, Actor] = {}
        self.actors: set[Actor] = set()
        self.ready: deque[Actor] = deque()
        self.open_sockets = 0  # held by peers, whatever they do with them: what descriptors are counted by
        self.stopped = False

    def run(self) -> None:
        while not self.stopped:
            self.run_once()

    def stop(self) -> None:
        self.stopped = True

    def run_once(self, longest: float | None = None) -> None:
        """Wait for what comes first, ``longest`` seconds at most, and resume the actors that it concerns."""
        delay = self.timers.run()
        waits = [w for w in (0.0 if self.ready else None, delay, longest) if w is not None]
        for fd, events in self.epoll.poll(min(waits) if waits else None):
            actor = self.actors_by_fd.get(fd)
            if actor is not None:
                broken = events & (select.EPOLLHUP | select.EPOLLERR)
                self.wake(
                    actor,
                    (READABLE if events & select.EPOLLIN or broken else 0)
                    | (WRITABLE if events & select.EPOLLOUT or broken else 0),
                )
        self.timers.run()
        for _ in range(MAX_MAIL_ROUNDS):
            for _ in range(len(self.ready)):
                self._resume(self.ready.popleft())
            if not self.ready:
                break

    def wake(self, actor: Actor, why: int) -> None:
        actor.wake_flags |= why
        if actor.waiting:
            actor.waiting = False
            if actor.timer is not None:
                self.timers.cancel(actor.timer, actor)
                actor.timer = None
            self.ready.append(actor)

    def _on_timeout(self, actor: Actor) -> None:
        actor.timer = None
        self.wake(actor, TIMED_OUT)

    def _resume(self, actor: Actor) -> None:
        if actor.coroutine is None:
            return
        why, actor.wake_flags = actor.wake_flags, 0
        try:
            fresh, actor.not_started = actor.not_started, False
            wait = next(actor.coroutine) if fresh else actor.coroutine.send(why)
        except StopIteration:
            self._remove(actor)
            return
        except Exception:
            # One peer's fault must not end the connections of all the others.
            self.log.event(
                "fault",
                "fault: {where}: {error}",
                where=type(actor).__name__,
                error=traceback.format_exc(limit=-4),
            )
            self._remove(actor)
            if actor.restart_after_fault:
                actor.start()
            return
        self._suspend(actor, wait)

    def _suspend(self, actor: Actor, wait: Wait) -> None:
        fd = wait.sock.fileno() if wait.sock is not None else -1
        mask = (select.EPOLLIN if wait.read else 0) | (select.EPOLLOUT if wait.write else 0)
        self._update_registration(actor, fd, mask if fd >= 0 else 0)
        actor.waiting = True
        if actor.mailbox:
            self.wake(actor, MAIL)
        elif wait.until is not None:
            actor.timer = self.timers.set(wait.until, actor)

    def _update_registration(self, actor: Actor, fd: int, mask: int) -> None:
        """Tell epoll what the actor waits for.

        Without interest the socket is taken out: epoll reports a hang-up even where nothing is asked for,
        and a paused peer that resets would then keep the loop spinning.
        """
        if actor.registered_fd != fd or not mask:
            self.unregister(actor)
        if not mask:
            return
        if actor.registered_fd < 0:
            self.epoll.register(fd, mask)
            self.actors_by_fd[fd] = actor
            actor.registered_fd = fd
        elif actor.registered_events != mask:
            self.epoll.modify(fd, mask)
        actor.registered_events = mask

    def unregister(self, actor: Actor) -> None:
        """Take the actor's socket out of epoll; needed before the socket is closed."""
        if actor.registered_fd >= 0:
            self.epoll.unregister(actor.registered_fd)
            del self.actors_by_fd[actor.registered_fd]
            actor.registered_fd, actor.registered_events = -1, 0

    def _remove(self, actor: Actor) -> None:
        self.unregister(actor)
        if actor.timer is not None:  # closed while it waited
            self.timers.cancel(actor.timer, actor)
            actor.timer = None
        actor.coroutine = None
        actor.mailbox.clear()
        self.actors.discard(actor)

    def close(self) -> None:
        """End what still runs, each actor by way of its own clean-up."""
        for actor in list(self.actors):
            if actor.coroutine is not None:
                actor.coroutine.close()
            self._remove(actor)
        self.epoll.close()
