"""Repeats of requests with an idempotency key by a process that is held up: none is sent after its window."""

from __future__ import annotations

from typing import Any

import pytest
from wire import SETTINGS, World

WINDOW_MS = 600.0
STALL_MS = 140.0
REQUEST = "c1 send OPEN 1 k1 d=1200,c=feed,t=n\nd1 expect OPEN 1 *\n"


def keyed_world(connect_timeout_ms: float) -> World:
    """Return a balancer whose servers recognise the repeats of a request for ``WINDOW_MS``."""
    (request_class,) = SETTINGS["classes"]
    limits: Any = SETTINGS["limits"]
    return World(
        settings={
            **SETTINGS,
            "classes": [
                {
                    **request_class,  # type: ignore[dict-item]
                    "effect": "idempotency_key",
                    "keyScope": "all",
                    "memorySpan": WINDOW_MS,
                }
            ],
            "limits": {**limits, "connectTimeout": connect_timeout_ms},
        }
    )


def delay_between_poll_and_actors(world: World, delay_ms: float) -> None:
    """Let the next turn that polls a socket be held up before its actors run."""

    def hold_up() -> None:
        world.clock.now += delay_ms / 1000.0

    world.call_after_poll(hold_up)


@pytest.mark.parametrize("connect_timeout_ms", [75.0, 150.0, 200.0, 250.0])
@pytest.mark.parametrize("reset_ms", [100.0, 300.0, 340.0, 440.0, 514.0])
@pytest.mark.parametrize("connect_ms", [0.0, 70.0, 240.0])
def test_repeat_after_a_stall_is_sent_within_its_window_or_not_at_all(
    connect_timeout_ms: float, reset_ms: float, connect_ms: float
) -> None:
    """Guards against an opening line that a stall or a slow connect delays beyond the window for repeats.

    The process is held up between the decision and the write, while the connection comes up.
    """
    world = keyed_world(connect_timeout_ms)
    world.play(REQUEST)
    sent_at = world.clock.now
    world.wait(reset_ms)
    world.close_unread("d1", reset=True)
    world.loop.run_once(0.001)  # the decision, and the start of the connect
    delay_between_poll_and_actors(world, connect_ms + STALL_MS)
    world.run_turns()
    if world.received.get("d2"):
        assert 1000.0 * (world.clock.now - sent_at) < WINDOW_MS
    else:
        world.play("c1 expect ERR\nc1 end")
    world.close()


@pytest.mark.parametrize("connect_timeout_ms", [75.0, 250.0])
def test_repeat_whose_connect_leaves_time_for_a_stall_is_sent(connect_timeout_ms: float) -> None:
    """Guards against a check that gives up repeats which are still within their window."""
    world = keyed_world(connect_timeout_ms)
    world.play(REQUEST)
    world.wait(340.0)
    world.close_unread("d1", reset=True)
    world.loop.run_once(0.001)
    delay_between_poll_and_actors(world, 60.0)
    world.play("d2 expect OPEN 1 k1 *\nd2 send UP r2\nc1 expect UP r2")
    world.close()
