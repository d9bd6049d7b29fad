"""Several balancer processes that replicate over UDP, with faults on the links between them."""

from __future__ import annotations

import signal
from pathlib import Path

from snowwick.lab.rig import Fleet


def test_copies_agree_after_a_partition_has_healed(tmp_path: Path) -> None:
    with Fleet(tmp_path, 4) as fleet:
        fleet.start()
        fleet.wait_until(fleet.all_joined)
        fleet.partition([0, 1])
        fleet.wait_until(lambda: fleet.all_joined(0, 1) and fleet.all_joined(2, 3))
        results = [fleet.connect_client(n) for n in range(4)]
        fleet.wait_for_answers(*results)
        fleet.heal()
        assert fleet.wait_until(fleet.all_joined) < 3.0
        fleet.wait_until(lambda: all(fleet.status(n)["held_elsewhere"] == 3 for n in range(4)))
        assert all(result.final_answers[0].startswith(b"UP") for result in results)


def test_no_member_is_declared_dead_by_a_one_way_cut(tmp_path: Path) -> None:
    with Fleet(tmp_path, 3) as fleet:
        fleet.start()
        fleet.wait_until(fleet.all_joined)
        fleet.cut((0, 1))
        fleet.run_for(3.0)
        assert fleet.all_joined() and "is dead" not in "".join(balancer.log for balancer in fleet.balancers)


def test_all_balancers_avoid_a_hanging_destination_that_one_has_found(tmp_path: Path) -> None:
    with Fleet(tmp_path, 3, destination_count=2) as fleet:
        fleet.start()
        fleet.wait_until(fleet.all_joined)
        fleet.wait_until(lambda: all(fleet.status(n)["list_version"] >= 3 for n in range(3)))
        hanging = fleet.destinations[0]
        hanging.mode = "hang"
        for n in range(8):  # about half of these keys are routed to the hanging destination
            fleet.connect_client(0, key=f"c{n}")
        fleet.wait_for_answers()
        fleet.wait_until(lambda: all(fleet.status(n)["kept_away_from"] for n in (1, 2)))
        opened_before = len(hanging.opening_times)
        results = [fleet.connect_client(n, key=f"d{client}") for n in (1, 2) for client in range(8)]
        fleet.wait_for_answers(*results)
        assert all(result.final_answers[0].startswith(b"UP") for result in results)
        assert len(hanging.opening_times) == opened_before


def test_a_killed_balancer_catches_up_after_its_restart(tmp_path: Path) -> None:
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


def test_a_newer_list_at_one_balancer_drains_destinations_at_all_and_adds_none(tmp_path: Path) -> None:
    """Two balancers receive no new list; the third one's list drains one destination and adds one.

    The two also drain that destination, but do not use the added one.
    """
    with Fleet(tmp_path, 3, destination_count=2) as fleet:
        fleet.start()
        fleet.wait_until(
            lambda: fleet.all_joined() and all(fleet.status(n)["list_version"] >= 3 for n in range(3))
        )
        version = fleet.discovery.version
        fleet.discovery.version_limits = {"b1": version, "b2": version}
        drained = fleet.destinations[0]
        fleet.discovery.update_server(drained.id, drained.address, "terminating")
        added = fleet.add_destination("s-new")
        fleet.wait_until(
            lambda: all(
                "another balancer has a newer list than version" in fleet.balancers[n].log for n in (1, 2)
            )
        )
        opened_before = len(drained.opening_times)
        results = [fleet.connect_client(n, key=f"d{client}") for n in (1, 2) for client in range(6)]
        fleet.wait_for_answers(*results)
        assert all(result.final_answers[0].startswith(b"UP s-1") for result in results)
        assert len(drained.opening_times) == opened_before and not added.opening_times


def test_corrupted_duplicated_and_reordered_frames_do_not_affect_clients(tmp_path: Path) -> None:
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
        assert "fault" not in "".join(balancer.log for balancer in fleet.balancers)


def test_a_balancer_with_a_wrong_key_stays_outside_the_fleet_and_serves(tmp_path: Path) -> None:
    with Fleet(tmp_path, 3) as fleet:
        fleet.write_key(2, b"another key altogether")
        fleet.start()
        fleet.wait_until(lambda: fleet.all_joined(0, 1))
        fleet.wait_until(lambda: fleet.status(2)["dropped"].get("digest", 0) > 3)
        assert set(fleet.members(2).values()) == {"self"} and "b2" not in fleet.members(0)
        fleet.wait_for_answers(*[fleet.connect_client(n) for n in range(3)])


def test_the_younger_of_two_balancers_with_one_name_leaves_the_fleet_and_serves(tmp_path: Path) -> None:
    with Fleet(tmp_path, 3) as fleet:
        fleet.start(0, 1)
        fleet.wait_until(lambda: fleet.all_joined(0, 1))
        fleet.write_files(2, name="b1")
        fleet.start(2)
        fleet.wait_until(lambda: "serving alone" in fleet.balancers[2].log)
        fleet.wait_until(lambda: fleet.all_joined(0, 1))
        assert "serving alone" not in fleet.balancers[1].log
        fleet.wait_for_answers(*[fleet.connect_client(n) for n in range(3)])


def test_a_balancer_stopped_for_five_seconds_rejoins_beside_a_clock_ten_minutes_ahead(tmp_path: Path) -> None:
    with Fleet(tmp_path, 3) as fleet:
        fleet.start(0, 1)
        fleet.start(2, skew_s=600.0)
        fleet.wait_until(fleet.all_joined)
        fleet.send_signal(1, signal.SIGSTOP)
        fleet.run_for(5.0)
        results = [fleet.connect_client(0), fleet.connect_client(2)]
        fleet.send_signal(1, signal.SIGCONT)
        fleet.wait_until(fleet.all_joined)
        results.append(fleet.connect_client(1))
        fleet.wait_for_answers(*results)
        fleet.wait_until(lambda: [fleet.status(n)["held_elsewhere"] for n in range(3)] == [2, 2, 2])


def test_a_rolling_restart_moves_connections_and_breaks_none(tmp_path: Path) -> None:
    with Fleet(tmp_path, 3) as fleet:
        fleet.start()
        fleet.wait_until(fleet.all_joined)
        connections = [fleet.connect_client(n) for n in range(3)]
        fleet.wait_for_answers()
        for n in range(3):
            fleet.send_signal(n, signal.SIGTERM)
            process = fleet.balancers[n].process
            fleet.wait_until(lambda process=process: process.poll() is not None)  # type: ignore[misc]
            fleet.start(n)
            fleet.wait_until(fleet.all_joined)
        assert all(connection.moved and not connection.broken for connection in connections)
        assert all("is left" in fleet.balancers[0].log or n == 0 for n in range(3))
        fleet.wait_for_answers(*[fleet.connect_client(n) for n in range(3)])


def test_keys_are_replaced_without_dropping_frames(tmp_path: Path) -> None:
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


def test_a_budget_moves_to_the_balancer_that_needs_it_and_is_never_exceeded(tmp_path: Path) -> None:
    """Clients connect to one balancer and then, during a partition, to the other one.

    The connections are counted at the destination, so that the budget is checked across both balancers.
    """
    with Fleet(tmp_path, 2, destination_count=1, contracts=CONTRACTS) as fleet:
        fleet.start()
        fleet.wait_until(fleet.all_joined)
        (destination,) = fleet.destinations
        most_connections = 0

        def connect_until(number: int, wanted: int) -> bool:
            """Connect one more client to a balancer if needed; returns whether ``wanted`` are established."""
            nonlocal most_connections
            open_results = [
                result
                for result in fleet.client_results
                if result.balancer_number == number and not result.ended
            ]
            if len(open_results) < wanted:
                fleet.connect_client(number)
                fleet.run_for(0.05)
            most_connections = max(most_connections, destination.established)
            assert most_connections <= 20
            return (
                sum(
                    bool(result.final_answers and result.final_answers[0].startswith(b"UP"))
                    for result in open_results
                )
                >= wanted
            )

        fleet.wait_until(lambda: connect_until(0, 18))
        fleet.partition([0])
        fleet.wait_until(lambda: connect_until(1, 10), 30.0)
        fleet.wait_until(lambda: connect_until(0, 10) and not connect_until(0, 11), 30.0)
        assert most_connections > 16
        ended = [
            result
            for result in fleet.client_results
            if result.final_answers and result.final_answers[0].startswith(b"UP") and result.ended
        ]
        assert ended and all(result.moved for result in ended)


def test_the_stricter_of_two_contracts_applies_at_both_balancers(tmp_path: Path) -> None:
    with Fleet(tmp_path, 2, destination_count=1, contracts=CONTRACTS) as fleet:
        (fleet.balancers[1].folder / "contracts.toml").write_text(
            CONTRACTS.replace("connections = 20", "connections = 8")
        )
        fleet.start()
        fleet.wait_until(
            lambda: (
                fleet.all_joined() and all("other contracts" in balancer.log for balancer in fleet.balancers)
            )
        )
        fleet.wait_until(
            lambda: sum(fleet.status(n)["rights"].get("fleet.connections", 99.0) for n in range(2)) <= 8.0
        )
        for n in range(30):
            fleet.connect_client(n % 2)
            fleet.run_for(0.05)
        fleet.wait_for_answers()
        assert 6 <= fleet.destinations[0].established <= 8
