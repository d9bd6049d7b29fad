"""Several real balancers with faults between them."""

from __future__ import annotations

import signal
from pathlib import Path

from snowwick.lab.rig import Fleet


def test_cut_in_two_halves_and_healed_all_copies_agree(tmp_path: Path) -> None:
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
        assert all(one.finals[0].startswith(b"UP") for one in answers)


def test_one_way_cut_leaves_no_false_death(tmp_path: Path) -> None:
    with Fleet(tmp_path, 3) as fleet:
        fleet.start()
        fleet.until(fleet.joined)
        fleet.cut((0, 1))
        fleet.turn(3.0)
        assert fleet.joined() and "is dead" not in "".join(one.log for one in fleet.balancers)


def test_a_hanging_server_found_by_one_is_left_by_all(tmp_path: Path) -> None:
    with Fleet(tmp_path, 3, nodes=2) as fleet:
        fleet.start()
        fleet.until(fleet.joined)
        fleet.until(lambda: all(fleet.status(n)["list_version"] >= 3 for n in range(3)))
        bad = fleet.nodes[0]
        bad.mode = "hang"
        for n in range(8):  # by their keys about half go there
            fleet.ask(0, key=f"c{n}")
        fleet.answered()
        fleet.until(lambda: all(fleet.status(n)["kept_away_from"] for n in (1, 2)))
        before = len(bad.opened)
        late = [fleet.ask(n, key=f"d{k}") for n in (1, 2) for k in range(8)]
        fleet.answered(*late)
        assert all(one.finals[0].startswith(b"UP") for one in late)
        assert len(bad.opened) == before


def test_killed_and_returned_it_catches_up(tmp_path: Path) -> None:
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


def test_a_newer_list_known_to_one_is_obeyed_by_all_and_sent_to_by_none(tmp_path: Path) -> None:
    """Discovery is down for two: what the third's list says to leave is left, what is new is not used."""
    with Fleet(tmp_path, 3, nodes=2) as fleet:
        fleet.start()
        fleet.until(lambda: fleet.joined() and all(fleet.status(n)["list_version"] >= 3 for n in range(3)))
        version = fleet.discovery.version
        fleet.discovery.stale = {"b1": version, "b2": version}
        gone = fleet.nodes[0]
        fleet.discovery.put(gone.id, gone.address, "terminating")
        fresh = fleet.node("s-new")
        fleet.until(
            lambda: all(
                "another balancer has a newer list than version" in fleet.balancers[n].log for n in (1, 2)
            )
        )
        before = len(gone.opened)
        some = [fleet.ask(n, key=f"d{k}") for n in (1, 2) for k in range(6)]
        fleet.answered(*some)
        assert all(one.finals[0].startswith(b"UP s-1") for one in some)
        assert len(gone.opened) == before and not fresh.opened


def test_corrupting_doubling_and_reordering_links_change_nothing_for_clients(tmp_path: Path) -> None:
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
        assert "fault" not in "".join(one.log for one in fleet.balancers)


def test_one_with_a_wrong_key_stays_outside_and_serves(tmp_path: Path) -> None:
    with Fleet(tmp_path, 3) as fleet:
        fleet.key(2, b"another key altogether")
        fleet.start()
        fleet.until(lambda: fleet.joined(0, 1))
        fleet.until(lambda: fleet.status(2)["dropped"].get("digest", 0) > 3)
        assert set(fleet.members(2).values()) == {"self"} and "b2" not in fleet.members(0)
        fleet.answered(*[fleet.ask(n) for n in range(3)])


def test_the_younger_of_two_with_one_name_leaves_and_serves_alone(tmp_path: Path) -> None:
    with Fleet(tmp_path, 3) as fleet:
        fleet.start(0, 1)
        fleet.until(lambda: fleet.joined(0, 1))
        fleet.write(2, name="b1")
        fleet.start(2)
        fleet.until(lambda: "serving alone" in fleet.balancers[2].log)
        fleet.until(lambda: fleet.joined(0, 1))
        assert "serving alone" not in fleet.balancers[1].log
        fleet.answered(*[fleet.ask(n) for n in range(3)])


def test_stopped_for_five_seconds_and_a_clock_ten_minutes_ahead(tmp_path: Path) -> None:
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


def test_all_restarted_one_after_another(tmp_path: Path) -> None:
    with Fleet(tmp_path, 3) as fleet:
        fleet.start()
        fleet.until(fleet.joined)
        kept = [fleet.ask(n) for n in range(3)]
        fleet.answered()
        for n in range(3):
            fleet.signal(n, signal.SIGTERM)
            process = fleet.balancers[n].process
            fleet.until(lambda process=process: process.poll() is not None)  # type: ignore[misc]
            fleet.start(n)
            fleet.until(fleet.joined)
        assert all(one.moved and not one.broken for one in kept)
        assert all("is left" in fleet.balancers[0].log or n == 0 for n in range(3))
        fleet.answered(*[fleet.ask(n) for n in range(3)])


def test_keys_are_changed_without_a_break(tmp_path: Path) -> None:
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


def test_a_budget_goes_where_it_is_asked_for_and_is_never_passed(tmp_path: Path) -> None:
    """Asked for at one balancer only, then, across a cut, at the other; counted at the nodes."""
    with Fleet(tmp_path, 2, nodes=1, contracts=CONTRACTS) as fleet:
        fleet.start()
        fleet.until(fleet.joined)
        (node,) = fleet.nodes
        most = 0

        def crowd(n: int, wanted: int) -> bool:
            """Clients come and come again until so many stand there."""
            nonlocal most
            mine = [one for one in fleet.answers if one.front == n and not one.ended]
            if len(mine) < wanted:
                fleet.ask(n)
                fleet.turn(0.05)
            most = max(most, node.standing)
            assert most <= 20
            return sum(bool(one.finals and one.finals[0].startswith(b"UP")) for one in mine) >= wanted

        fleet.until(lambda: crowd(0, 18))
        fleet.halves([0])
        fleet.until(lambda: crowd(1, 10), 30.0)
        fleet.until(lambda: crowd(0, 10) and not crowd(0, 11), 30.0)
        assert most > 16
        ended = [one for one in fleet.answers if one.finals and one.finals[0].startswith(b"UP") and one.ended]
        assert ended and all(one.moved for one in ended)


def test_of_two_contracts_the_stricter_limit_holds_at_both(tmp_path: Path) -> None:
    with Fleet(tmp_path, 2, nodes=1, contracts=CONTRACTS) as fleet:
        (fleet.balancers[1].folder / "contracts.toml").write_text(
            CONTRACTS.replace("connections = 20", "connections = 8")
        )
        fleet.start()
        fleet.until(lambda: fleet.joined() and all("other contracts" in one.log for one in fleet.balancers))
        fleet.until(
            lambda: sum(fleet.status(n)["rights"].get("fleet.connections", 99.0) for n in range(2)) <= 8.0
        )
        for n in range(30):
            fleet.ask(n % 2)
            fleet.turn(0.05)
        fleet.answered()
        assert 6 <= fleet.nodes[0].standing <= 8
