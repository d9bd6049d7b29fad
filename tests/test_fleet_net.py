"""Several real balancer processes with faults on the links between them."""

from __future__ import annotations

import signal
from pathlib import Path

from snowwick.lab.rig import Fleet


def test_copies_agree_after_a_partition_has_healed(tmp_path: Path) -> None:
    with Fleet(tmp_path, 4) as fleet:
        fleet.start()
        fleet.until(fleet.joined)
        fleet.halves([0, 1])
        fleet.until(lambda: fleet.joined(0, 1) and fleet.joined(2, 3))
        answers = [fleet.ask(n) for n in range(4)]
        fleet.answered(*answers)
        fleet.heal()
        assert fleet.until(fleet.joined) < 3.0
        fleet.until(lambda: all(fleet.status(n)["held_elsewhere"] == 3 for n in range(4)))
        assert all(answer.finals[0].startswith(b"UP") for answer in answers)


def test_no_member_is_declared_dead_by_a_one_way_cut(tmp_path: Path) -> None:
    with Fleet(tmp_path, 3) as fleet:
        fleet.start()
        fleet.until(fleet.joined)
        fleet.cut((0, 1))
        fleet.turn(3.0)
        assert fleet.joined() and "is dead" not in "".join(balancer.log for balancer in fleet.balancers)


def test_all_balancers_avoid_a_hanging_destination_that_one_has_found(tmp_path: Path) -> None:
    with Fleet(tmp_path, 3, nodes=2) as fleet:
        fleet.start()
        fleet.until(fleet.joined)
        fleet.until(lambda: all(fleet.status(n)["list_version"] >= 3 for n in range(3)))
        hanging = fleet.nodes[0]
        hanging.mode = "hang"
        for n in range(8):  # their keys send about half of them to the hanging destination
            fleet.ask(0, key=f"c{n}")
        fleet.answered()
        fleet.until(lambda: all(fleet.status(n)["kept_away_from"] for n in (1, 2)))
        opened_before = len(hanging.opened)
        answers = [fleet.ask(n, key=f"d{client}") for n in (1, 2) for client in range(8)]
        fleet.answered(*answers)
        assert all(answer.finals[0].startswith(b"UP") for answer in answers)
        assert len(hanging.opened) == opened_before


def test_a_killed_balancer_catches_up_after_its_restart(tmp_path: Path) -> None:
    with Fleet(tmp_path, 3) as fleet:
        fleet.start()
        fleet.until(fleet.joined)
        fleet.signal(2, signal.SIGKILL)
        for n in (0, 1, 0, 1):
            fleet.ask(n)
        fleet.answered()
        fleet.start(2)
        fleet.until(lambda: "caught up" in fleet.balancers[2].log)
        fleet.until(lambda: fleet.status(2)["held_elsewhere"] == 4)
        fleet.answered(fleet.ask(2))


def test_a_newer_list_at_one_balancer_drains_destinations_at_all_and_adds_none(tmp_path: Path) -> None:
    """Two balancers get no new list from discovery; the third one's list drains one destination and adds one.

    The two drain the destination as well, but do not use the added one.
    """
    with Fleet(tmp_path, 3, nodes=2) as fleet:
        fleet.start()
        fleet.until(lambda: fleet.joined() and all(fleet.status(n)["list_version"] >= 3 for n in range(3)))
        version = fleet.discovery.version
        fleet.discovery.stale = {"b1": version, "b2": version}
        drained = fleet.nodes[0]
        fleet.discovery.put(drained.id, drained.address, "terminating")
        added = fleet.node("s-new")
        fleet.until(
            lambda: all(
                "another balancer has a newer list than version" in fleet.balancers[n].log for n in (1, 2)
            )
        )
        opened_before = len(drained.opened)
        answers = [fleet.ask(n, key=f"d{client}") for n in (1, 2) for client in range(6)]
        fleet.answered(*answers)
        assert all(answer.finals[0].startswith(b"UP s-1") for answer in answers)
        assert len(drained.opened) == opened_before and not added.opened


def test_corrupted_duplicated_and_reordered_frames_do_not_affect_clients(tmp_path: Path) -> None:
    with Fleet(tmp_path, 3) as fleet:
        for link in fleet.links.values():
            link.corrupt, link.double, link.loss, link.delay = 0.2, 0.2, 0.1, 0.15
        fleet.start()
        fleet.until(fleet.joined)
        for n in range(9):
            fleet.ask(n % 3)
        fleet.answered()
        fleet.until(lambda: all(fleet.status(n)["held_elsewhere"] == 6 for n in range(3)))
        assert all(fleet.status(n)["dropped"]["digest"] for n in range(3))
        assert "fault" not in "".join(balancer.log for balancer in fleet.balancers)


def test_a_balancer_with_a_wrong_key_stays_outside_the_fleet_and_serves(tmp_path: Path) -> None:
    with Fleet(tmp_path, 3) as fleet:
        fleet.key(2, b"another key altogether")
        fleet.start()
        fleet.until(lambda: fleet.joined(0, 1))
        fleet.until(lambda: fleet.status(2)["dropped"].get("digest", 0) > 3)
        assert set(fleet.members(2).values()) == {"self"} and "b2" not in fleet.members(0)
        fleet.answered(*[fleet.ask(n) for n in range(3)])


def test_the_younger_of_two_balancers_with_one_name_leaves_the_fleet_and_serves(tmp_path: Path) -> None:
    with Fleet(tmp_path, 3) as fleet:
        fleet.start(0, 1)
        fleet.until(lambda: fleet.joined(0, 1))
        fleet.write(2, name="b1")
        fleet.start(2)
        fleet.until(lambda: "serving alone" in fleet.balancers[2].log)
        fleet.until(lambda: fleet.joined(0, 1))
        assert "serving alone" not in fleet.balancers[1].log
        fleet.answered(*[fleet.ask(n) for n in range(3)])


def test_a_balancer_stopped_for_five_seconds_rejoins_beside_a_clock_ten_minutes_ahead(tmp_path: Path) -> None:
    with Fleet(tmp_path, 3) as fleet:
        fleet.start(0, 1)
        fleet.start(2, skew=600.0)
        fleet.until(fleet.joined)
        fleet.signal(1, signal.SIGSTOP)
        fleet.turn(5.0)
        answers = [fleet.ask(0), fleet.ask(2)]
        fleet.signal(1, signal.SIGCONT)
        fleet.until(fleet.joined)
        answers.append(fleet.ask(1))
        fleet.answered(*answers)
        fleet.until(lambda: [fleet.status(n)["held_elsewhere"] for n in range(3)] == [2, 2, 2])


def test_a_rolling_restart_moves_connections_and_breaks_none(tmp_path: Path) -> None:
    with Fleet(tmp_path, 3) as fleet:
        fleet.start()
        fleet.until(fleet.joined)
        connections = [fleet.ask(n) for n in range(3)]
        fleet.answered()
        for n in range(3):
            fleet.signal(n, signal.SIGTERM)
            process = fleet.balancers[n].process
            fleet.until(lambda process=process: process.poll() is not None)  # type: ignore[misc]
            fleet.start(n)
            fleet.until(fleet.joined)
        assert all(connection.moved and not connection.broken for connection in connections)
        assert all("is left" in fleet.balancers[0].log or n == 0 for n in range(3))
        fleet.answered(*[fleet.ask(n) for n in range(3)])


def test_keys_are_replaced_without_dropping_frames(tmp_path: Path) -> None:
    with Fleet(tmp_path, 2) as fleet:
        for n in range(2):
            fleet.key(n, b"the key of this fleet", "old")
        fleet.start()
        fleet.until(fleet.joined)
        for step in ("take both", "send new"):
            for n in range(2):
                if step == "take both":
                    fleet.key(n, b"the next key of it", "old")
                else:
                    fleet.key(n, b"the next key of it", "key")
                    fleet.key(n, b"the key of this fleet", "old")
                fleet.write(n, old_key="old")
                fleet.signal(n, signal.SIGHUP)
                fleet.turn(0.5)
        fleet.turn(1.0)
        assert fleet.joined()
        assert not any(fleet.status(n)["dropped"].get("digest") for n in range(2))


CONTRACTS = """
version = 1
[fleet]
connections = 20
setups_per_s = 1000.0
reclaim = { within_s = 2.0, reserve = 0.0 }
[pools.all]
[teams.one]
tenants = ["n"]
pool = "all"
"""


def test_a_budget_moves_to_the_balancer_that_needs_it_and_is_never_exceeded(tmp_path: Path) -> None:
    """Clients connect to one balancer only, then, during a partition, to the other one.

    The connections are counted at the destination, so that the budget is checked over both balancers.
    """
    with Fleet(tmp_path, 2, nodes=1, contracts=CONTRACTS) as fleet:
        fleet.start()
        fleet.until(fleet.joined)
        (node,) = fleet.nodes
        most_connections = 0

        def connect_until(n: int, wanted: int) -> bool:
            """Open one more connection at balancer ``n``; whether ``wanted`` are established there."""
            nonlocal most_connections
            open_here = [answer for answer in fleet.answers if answer.front == n and not answer.ended]
            if len(open_here) < wanted:
                fleet.ask(n)
                fleet.turn(0.05)
            most_connections = max(most_connections, node.standing)
            assert most_connections <= 20
            return (
                sum(bool(answer.finals and answer.finals[0].startswith(b"UP")) for answer in open_here)
                >= wanted
            )

        fleet.until(lambda: connect_until(0, 18))
        fleet.halves([0])
        fleet.until(lambda: connect_until(1, 10), 30.0)
        fleet.until(lambda: connect_until(0, 10) and not connect_until(0, 11), 30.0)
        assert most_connections > 16
        ended = [
            answer
            for answer in fleet.answers
            if answer.finals and answer.finals[0].startswith(b"UP") and answer.ended
        ]
        assert ended and all(answer.moved for answer in ended)


def test_the_stricter_of_two_contracts_applies_at_both_balancers(tmp_path: Path) -> None:
    with Fleet(tmp_path, 2, nodes=1, contracts=CONTRACTS) as fleet:
        (fleet.balancers[1].folder / "contracts.toml").write_text(
            CONTRACTS.replace("connections = 20", "connections = 8")
        )
        fleet.start()
        fleet.until(
            lambda: fleet.joined() and all("other contracts" in balancer.log for balancer in fleet.balancers)
        )
        fleet.until(
            lambda: sum(fleet.status(n)["rights"].get("fleet.connections", 99.0) for n in range(2)) <= 8.0
        )
        for n in range(30):
            fleet.ask(n % 2)
            fleet.turn(0.05)
        fleet.answered()
        assert 6 <= fleet.nodes[0].standing <= 8
