"""Several real balancers with faults between them."""

from __future__ import annotations

import signal
from pathlib import Path

from snowwick.lab.rig import Fleet


def test_cut_in_two_halves_and_healed_all_copies_agree(tmp_path: Path) -> None:
    with Fleet(tmp_path, 4) as fleet:
        fleet.start()
        fleet.wait_until(fleet.all_joined)
        fleet.partition([0, 1])
        fleet.wait_until(lambda: fleet.all_joined(0, 1) and fleet.all_joined(2, 3))
        answers = [fleet.connect_client(n) for n in range(4)]
        fleet.wait_for_answers(*answers)
        fleet.heal()
        assert fleet.wait_until(fleet.all_joined) < 3.0
        fleet.wait_until(lambda: all(fleet.status(n)["held_elsewhere"] == 3 for n in range(4)))
        assert all(one.final_answers[0].startswith(b"UP") for one in answers)


def test_one_way_cut_leaves_no_false_death(tmp_path: Path) -> None:
    with Fleet(tmp_path, 3) as fleet:
        fleet.start()
        fleet.wait_until(fleet.all_joined)
        fleet.cut((0, 1))
        fleet.run_for(3.0)
        assert fleet.all_joined() and "is dead" not in "".join(one.log for one in fleet.balancers)


def test_a_hanging_server_found_by_one_is_left_by_all(tmp_path: Path) -> None:
    with Fleet(tmp_path, 3, destination_count=2) as fleet:
        fleet.start()
        fleet.wait_until(fleet.all_joined)
        fleet.wait_until(lambda: all(fleet.status(n)["list_version"] >= 3 for n in range(3)))
        bad = fleet.destinations[0]
        bad.mode = "hang"
        for n in range(8):  # by their keys about half go there
            fleet.connect_client(0, key=f"c{n}")
        fleet.wait_for_answers()
        fleet.wait_until(lambda: all(fleet.status(n)["kept_away_from"] for n in (1, 2)))
        before = len(bad.opening_times)
        late = [fleet.connect_client(n, key=f"d{k}") for n in (1, 2) for k in range(8)]
        fleet.wait_for_answers(*late)
        assert all(one.final_answers[0].startswith(b"UP") for one in late)
        assert len(bad.opening_times) == before


def test_killed_and_returned_it_catches_up(tmp_path: Path) -> None:
    with Fleet(tmp_path, 3) as fleet:
        fleet.start()
        fleet.wait_until(fleet.all_joined)
        fleet.send_signal(2, signal.SIGKILL)
        for n in (0, 1, 0, 1):
            fleet.connect_client(n)
        fleet.wait_for_answers()
        fleet.start(2)
        fleet.wait_until(lambda: "caught up" in fleet.balancers[2].log)
        fleet.wait_until(lambda: fleet.status(2)["held_elsewhere"] == 4)
        fleet.wait_for_answers(fleet.connect_client(2))


def test_a_newer_list_known_to_one_is_obeyed_by_all_and_sent_to_by_none(tmp_path: Path) -> None:
    """Discovery is down for two: what the third's list says to leave is left, what is new is not used."""
    with Fleet(tmp_path, 3, destination_count=2) as fleet:
        fleet.start()
        fleet.wait_until(
            lambda: fleet.all_joined() and all(fleet.status(n)["list_version"] >= 3 for n in range(3))
        )
        version = fleet.discovery.version
        fleet.discovery.version_limits = {"b1": version, "b2": version}
        gone = fleet.destinations[0]
        fleet.discovery.update_server(gone.id, gone.address, "terminating")
        fresh = fleet.add_destination("s-new")
        fleet.wait_until(
            lambda: all(
                "another balancer has a newer list than version" in fleet.balancers[n].log for n in (1, 2)
            )
        )
        before = len(gone.opening_times)
        some = [fleet.connect_client(n, key=f"d{k}") for n in (1, 2) for k in range(6)]
        fleet.wait_for_answers(*some)
        assert all(one.final_answers[0].startswith(b"UP s-1") for one in some)
        assert len(gone.opening_times) == before and not fresh.opening_times


def test_corrupting_doubling_and_reordering_links_change_nothing_for_clients(tmp_path: Path) -> None:
    with Fleet(tmp_path, 3) as fleet:
        for link in fleet.links.values():
            link.corrupt_probability, link.duplicate_probability, link.loss_probability, link.max_delay_s = (
                0.2,
                0.2,
                0.1,
                0.15,
            )
        fleet.start()
        fleet.wait_until(fleet.all_joined)
        for n in range(9):
            fleet.connect_client(n % 3)
        fleet.wait_for_answers()
        fleet.wait_until(lambda: all(fleet.status(n)["held_elsewhere"] == 6 for n in range(3)))
        assert all(fleet.status(n)["dropped"]["digest"] for n in range(3))
        assert "fault" not in "".join(one.log for one in fleet.balancers)


def test_one_with_a_wrong_key_stays_outside_and_serves(tmp_path: Path) -> None:
    with Fleet(tmp_path, 3) as fleet:
        fleet.write_key(2, b"another key altogether")
        fleet.start()
        fleet.wait_until(lambda: fleet.all_joined(0, 1))
        fleet.wait_until(lambda: fleet.status(2)["dropped"].get("digest", 0) > 3)
        assert set(fleet.members(2).values()) == {"self"} and "b2" not in fleet.members(0)
        fleet.wait_for_answers(*[fleet.connect_client(n) for n in range(3)])


def test_the_younger_of_two_with_one_name_leaves_and_serves_alone(tmp_path: Path) -> None:
    with Fleet(tmp_path, 3) as fleet:
        fleet.start(0, 1)
        fleet.wait_until(lambda: fleet.all_joined(0, 1))
        fleet.write_files(2, name="b1")
        fleet.start(2)
        fleet.wait_until(lambda: "serving alone" in fleet.balancers[2].log)
        fleet.wait_until(lambda: fleet.all_joined(0, 1))
        assert "serving alone" not in fleet.balancers[1].log
        fleet.wait_for_answers(*[fleet.connect_client(n) for n in range(3)])


def test_stopped_for_five_seconds_and_a_clock_ten_minutes_ahead(tmp_path: Path) -> None:
    with Fleet(tmp_path, 3) as fleet:
        fleet.start(0, 1)
        fleet.start(2, skew=600.0)
        fleet.wait_until(fleet.all_joined)
        fleet.send_signal(1, signal.SIGSTOP)
        fleet.run_for(5.0)
        answers = [fleet.connect_client(0), fleet.connect_client(2)]
        fleet.send_signal(1, signal.SIGCONT)
        fleet.wait_until(fleet.all_joined)
        answers.append(fleet.connect_client(1))
        fleet.wait_for_answers(*answers)
        fleet.wait_until(lambda: [fleet.status(n)["held_elsewhere"] for n in range(3)] == [2, 2, 2])


def test_all_restarted_one_after_another(tmp_path: Path) -> None:
    with Fleet(tmp_path, 3) as fleet:
        fleet.start()
        fleet.wait_until(fleet.all_joined)
        kept = [fleet.connect_client(n) for n in range(3)]
        fleet.wait_for_answers()
        for n in range(3):
            fleet.send_signal(n, signal.SIGTERM)
            process = fleet.balancers[n].process
            fleet.wait_until(lambda process=process: process.poll() is not None)  # type: ignore[misc]
            fleet.start(n)
            fleet.wait_until(fleet.all_joined)
        assert all(one.moved and not one.broken for one in kept)
        assert all("is left" in fleet.balancers[0].log or n == 0 for n in range(3))
        fleet.wait_for_answers(*[fleet.connect_client(n) for n in range(3)])


def test_keys_are_changed_without_a_break(tmp_path: Path) -> None:
    with Fleet(tmp_path, 2) as fleet:
        for n in range(2):
            fleet.write_key(n, b"the key of this fleet", "old")
        fleet.start()
        fleet.wait_until(fleet.all_joined)
        for step in ("take both", "send new"):
            for n in range(2):
                if step == "take both":
                    fleet.write_key(n, b"the next key of it", "old")
                else:
                    fleet.write_key(n, b"the next key of it", "key")
                    fleet.write_key(n, b"the key of this fleet", "old")
                fleet.write_files(n, old_key="old")
                fleet.send_signal(n, signal.SIGHUP)
                fleet.run_for(0.5)
        fleet.run_for(1.0)
        assert fleet.all_joined()
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
    with Fleet(tmp_path, 2, destination_count=1, contracts=CONTRACTS) as fleet:
        fleet.start()
        fleet.wait_until(fleet.all_joined)
        (node,) = fleet.destinations
        most = 0

        def crowd(n: int, wanted: int) -> bool:
            """Clients come and come again until so many stand there."""
            nonlocal most
            mine = [one for one in fleet.client_results if one.balancer_number == n and not one.ended]
            if len(mine) < wanted:
                fleet.connect_client(n)
                fleet.run_for(0.05)
            most = max(most, node.established)
            assert most <= 20
            return (
                sum(bool(one.final_answers and one.final_answers[0].startswith(b"UP")) for one in mine)
                >= wanted
            )

        fleet.wait_until(lambda: crowd(0, 18))
        fleet.partition([0])
        fleet.wait_until(lambda: crowd(1, 10), 30.0)
        fleet.wait_until(lambda: crowd(0, 10) and not crowd(0, 11), 30.0)
        assert most > 16
        ended = [
            one
            for one in fleet.client_results
            if one.final_answers and one.final_answers[0].startswith(b"UP") and one.ended
        ]
        assert ended and all(one.moved for one in ended)


def test_of_two_contracts_the_stricter_limit_holds_at_both(tmp_path: Path) -> None:
    with Fleet(tmp_path, 2, destination_count=1, contracts=CONTRACTS) as fleet:
        (fleet.balancers[1].folder / "contracts.toml").write_text(
            CONTRACTS.replace("connections = 20", "connections = 8")
        )
        fleet.start()
        fleet.wait_until(
            lambda: fleet.all_joined() and all("other contracts" in one.log for one in fleet.balancers)
        )
        fleet.wait_until(
            lambda: sum(fleet.status(n)["rights"].get("fleet.connections", 99.0) for n in range(2)) <= 8.0
        )
        for n in range(30):
            fleet.connect_client(n % 2)
            fleet.run_for(0.05)
        fleet.wait_for_answers()
        assert 6 <= fleet.destinations[0].established <= 8
