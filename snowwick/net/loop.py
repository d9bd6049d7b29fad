"""A single-threaded event loop: epoll for sockets, timers, and actors as generator-based coroutines.

An actor is a generator with a mailbox. It yields a ``Wait`` and is resumed with flags that say what happened:
its socket is readable or writable, a message arrived, or the deadline passed. Each wait with a deadline has
its own timer (net/timers.py), which is cancelled when the wait ends.
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

# Flags with which an actor is resumed
READABLE = 1
WRITABLE = 2
MAIL = 4
TIMED_OUT = 8

# Rounds in which a turn resumes actors before the loop polls the sockets again: a line is relayed in two
# rounds, and the message that its output buffer is drained takes one more. Bounded, so that actors that post
# to each other without end do not starve the sockets.
MAX_MAIL_ROUNDS = 4


@dataclass(slots=True)
class Wait:
    """What an actor waits for, besides messages; ``until`` is in seconds on the loop's clock."""

    sock: socket.socket | None = None
    read: bool = False
    write: bool = False
    until: float | None = None


# The generator of an actor: yields what it waits for and is sent the flags that woke it
Coroutine = Generator[Wait, int, None]


class Actor:
    """A coroutine with a mailbox; it waits for at most one socket at a time."""

    # Whether the actor is restarted after an exception; set for those that the program cannot do without
    restart_after_fault = False

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.mailbox: deque[Any] = deque()
        self.coroutine: Coroutine | None = None  # None before the start and after the end
        self.timer: int | None = None  # the slot that ``Timers.cancel`` needs
        self.not_started = True
        self.waiting = False
        self.wake_flags = 0  # collected since the actor was last resumed
        self.registered_fd = -1
        self.registered_events = 0

    def run(self) -> Coroutine:
        """The actor's coroutine."""
        raise NotImplementedError

    def start(self) -> None:
        """Start the coroutine, or restart it."""
        self.coroutine, self.not_started = self.run(), True
        self.loop.actors.add(self)
        self.loop.ready.append(self)

    def post(self, message: object) -> None:
        """Put a message into the mailbox; dropped if the actor is not started or has ended."""
        if self.coroutine is not None:
            self.mailbox.append(message)
            self.loop.wake(self, MAIL)

    def sleep_until(self, deadline: float) -> Coroutine:
        """Wait until a time on the loop's clock; messages that arrive stay in the mailbox."""
        while self.loop.clock() < deadline:
            yield Wait(until=deadline)

    def take_messages(self) -> Generator[Any, None, None]:
        """Remove and yield the messages in the mailbox, oldest first."""
        while self.mailbox:
            yield self.mailbox.popleft()


class Loop:
    """Runs actors until ``stop`` is called."""

    def __init__(self, log: Log | None = None, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.log = log or Log()
        self.timers: Timers[Actor] = Timers(clock, self._on_timeout)
        self.epoll = select.epoll()
        self.actors_by_fd: dict[int, Actor] = {}
        self.actors: set[Actor] = set()
        self.ready: deque[Actor] = deque()  # actors to resume, in order
        # Open sockets of connections (LinePeer), registered with epoll or not; the service limits them
        self.open_sockets = 0
        self.stopped = False

    def run(self) -> None:
        """Run turns until ``stop`` is called."""
        while not self.stopped:
            self.run_once()

    def stop(self) -> None:
        """End ``run`` after the present turn."""
        self.stopped = True

    def run_once(self, max_wait_s: float | None = None) -> None:
        """Run one turn: wait for the first event and resume the actors that it concerns.

        ``max_wait_s`` limits the wait, in seconds.
        """
        timer_delay_s = self.timers.run()
        waits_s = [
            wait_s
            for wait_s in (0.0 if self.ready else None, timer_delay_s, max_wait_s)
            if wait_s is not None
        ]
        for fd, events in self.epoll.poll(min(waits_s) if waits_s else None):
            actor = self.actors_by_fd.get(fd)
            if actor is not None:
                hung_up = events & (select.EPOLLHUP | select.EPOLLERR)
                self.wake(
                    actor,
                    (READABLE if events & select.EPOLLIN or hung_up else 0)
                    | (WRITABLE if events & select.EPOLLOUT or hung_up else 0),
                )
        self.timers.run()
        for _ in range(MAX_MAIL_ROUNDS):
            for _ in range(len(self.ready)):
                self._resume(self.ready.popleft())
            if not self.ready:
                break

    def wake(self, actor: Actor, flags: int) -> None:
        """Schedule an actor to be resumed with these flags, and cancel its timer."""
        actor.wake_flags |= flags
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
        flags, actor.wake_flags = actor.wake_flags, 0
        try:
            not_started, actor.not_started = actor.not_started, False
            wait = next(actor.coroutine) if not_started else actor.coroutine.send(flags)
        except StopIteration:
            self._remove(actor)
            return
        except Exception:
            # An exception in one actor must not end the connections of all others.
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
        """Let the actor wait; it is woken at once if its mailbox has messages."""
        fd = wait.sock.fileno() if wait.sock is not None else -1
        events = (select.EPOLLIN if wait.read else 0) | (select.EPOLLOUT if wait.write else 0)
        self._update_registration(actor, fd, events if fd >= 0 else 0)
        actor.waiting = True
        if actor.mailbox:
            self.wake(actor, MAIL)
        elif wait.until is not None:
            actor.timer = self.timers.set(wait.until, actor)

    def _update_registration(self, actor: Actor, fd: int, events: int) -> None:
        """Register the events that the actor waits for with epoll.

        A socket without events is unregistered: epoll always reports hang-ups, so a reset on a paused
        connection would keep the loop spinning.
        """
        if actor.registered_fd != fd or not events:
            self.unregister(actor)
        if not events:
            return
        if actor.registered_fd < 0:
            self.epoll.register(fd, events)
            self.actors_by_fd[fd] = actor
            actor.registered_fd = fd
        elif actor.registered_events != events:
            self.epoll.modify(fd, events)
        actor.registered_events = events

    def unregister(self, actor: Actor) -> None:
        """Remove the actor's socket from epoll; required before the socket is closed."""
        if actor.registered_fd >= 0:
            self.epoll.unregister(actor.registered_fd)
            del self.actors_by_fd[actor.registered_fd]
            actor.registered_fd = -1
            actor.registered_events = 0

    def _remove(self, actor: Actor) -> None:
        self.unregister(actor)
        if actor.timer is not None:  # only when the loop is closed while the actor waits
            self.timers.cancel(actor.timer, actor)
            actor.timer = None
        actor.coroutine = None
        actor.mailbox.clear()
        self.actors.discard(actor)

    def close(self) -> None:
        """Close each remaining actor's coroutine, which runs its ``finally`` clauses, and close epoll."""
        for actor in list(self.actors):
            if actor.coroutine is not None:
                actor.coroutine.close()
            self._remove(actor)
        self.epoll.close()
