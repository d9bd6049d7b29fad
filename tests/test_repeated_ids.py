"""Ids that come again although the request of their earlier connection may have run."""

from __future__ import annotations

from unittest.mock import Mock

import pytest
from wire import SETTINGS, UP, World

from snowwick.net import lines
from snowwick.net.path import MAX_USED_IDS, OpeningStage, make_request

OPENING = "OPEN 1 k1 d=1200,c=feed,t=n,g=g1"


@pytest.mark.parametrize("ending", ["c1 close", "c1 reset", "d1 reset\nc1 expect ERR\nc1 close"])
@pytest.mark.parametrize("effect", ["non_idempotent", "idempotency_key"])
def test_id_that_comes_again_after_its_request_may_have_run_is_rejected(ending: str, effect: str) -> None:
    """Guards against a second run of a request whose client left while its attempt was out."""
    feed = {"name": "feed", "aim": 300.0, "deadline": 1200.0, "effect": effect, "keyScope": "cell"}
    world = World(settings={**SETTINGS, "classes": [feed]})
    world.play(f"c1 send {OPENING}\nd1 expect OPEN 1 *\n{ending}")
    world.run_until(lambda: not world.service.fronts)
    world.play(f"c2 send {OPENING}\nc2 expect ERR\nc2 end")
    assert world.destination_connections == 1
    world.close()


def unsafe_world() -> World:
    """Return a balancer whose requests may take effect only once."""
    feed = {"name": "feed", "aim": 300.0, "deadline": 1200.0, "effect": "non_idempotent"}
    return World(settings={**SETTINGS, "classes": [feed]})


def test_id_that_comes_again_after_its_connection_is_rejected() -> None:
    """An id is new with every connection."""
    world = unsafe_world()
    world.play(UP + "d1 send BYE\nd1 close\nc1 expect BYE\nc1 end\nc1 close")
    world.run_until(lambda: not world.service.fronts)
    world.play(f"c2 send {OPENING}\nc2 expect ERR\nc2 end")
    world.close()


def test_id_that_comes_again_after_a_refusal_is_served() -> None:
    """Nothing of the request was executed, and its client may repeat it."""
    world = unsafe_world()
    world.play(f"c1 send {OPENING}\n" + "d1 expect OPEN 1 *\nd1 send BUSY\n")
    world.play("d2 expect OPEN 1 *\nd2 send BUSY\nwait 1200\nc1 expect BUSY *\nc1 end\nc1 close")
    world.run_until(lambda: not world.service.fronts)
    world.play(f"wait 400\nc2 send {OPENING}\nd3 expect OPEN 1 *\nd3 send UP r1\nc2 expect UP r1")
    world.close()


def test_number_of_remembered_ids_is_bounded() -> None:
    """Guards against a process that grows with every new id; the latest ids are kept."""
    stage = OpeningStage({"feed": 1200.0}, frozenset(), frozenset())
    for number in range(MAX_USED_IDS + 10):
        line = f"OPEN {number} k c=feed,d=1200\r\n".encode()
        request = make_request(Mock(), lines.parse_opening(line), False)
        assert stage.enter(request) is None
        request.may_have_run = True
        stage.on_ended(request)
    assert len(stage.used_ids) == MAX_USED_IDS
    assert list(stage.used_ids)[-1] == str(MAX_USED_IDS + 9) and "0" not in stage.used_ids
