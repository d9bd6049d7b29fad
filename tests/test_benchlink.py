"""The simulator adapter: translation, malformed input, and equal actions in one process or several."""

from __future__ import annotations

import io
import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from crowgap import benchlink
from crowgap.policy import Balancer

ROOT = Path(__file__).parent.parent
RAW_SETTINGS: dict[str, Any] = {
    "classes": [{"name": "feed", "aim": 300.0, "deadline": 1200.0, "effect": "read_like", "points": 5.0}],
    "familyInfo": {"groups": True, "messageAim": [100.0], "tenantQuotaConnections": [9.0]},
    "invariants": {
        "askEvery": 10000.0,
        "cold": 24000.0,
        "coldFrom": 0.14,
        "fallMultiple": 2.5,
        "overloadFor": 1000.0,
    },
    "limits": {"connectTimeout": 250.0, "maxRetryAfter": 1500.0, "retryAfter": True, "mostTries": 5},
    "nInstances": 3,
    "selfIndex": 0,
    "registryMode": "on_request",
    "tenants": [{"name": "t"}],
    "weights": "rough",
    "zone": "a",
    "tick": 2.0,
    "an unknown key": {"x": 1},
}
MEMBERS = [
    {"backend": backend, "rackZone": "a", "unitGroup": 0, "status": "active", "powerHint": 1.0}
    for backend in range(11, 19)
]


def attach_events(instance: int, **changes: Any) -> list[dict[str, Any]]:
    """Return the events that start an instance: its settings, with ``changes``, and a restored list."""
    return [
        {"verb": "ATTACH", "i": instance, "salt": 5 + instance, "setup": {**RAW_SETTINGS, **changes}},
        {"verb": "MEMBERSHIP", "i": instance, "rev": 1, "form": "restored", "members": MEMBERS},
    ]


def request_event(instance: int, number: int, **fields: Any) -> dict[str, Any]:
    return {
        "verb": "ORDER",
        "i": instance,
        "msgId": number,
        "nameKey": f"c{number}",
        "teamId": f"g{number % 7}",
        "patienceLeft": 1000.0,
        "type": "feed",
        "party": "t",
        **fields,
    }


def batch(moment: float, *events: dict[str, Any]) -> str:
    """Return a line of input with these events at the time ``moment``, in ms."""
    return json.dumps({"moment": moment, "input": events})


def replies(lines: list[str]) -> list[list[dict[str, Any]]]:
    """Run the adapter in this process and return its actions for each line."""
    sink = io.StringIO()
    assert benchlink.main(io.StringIO("\n".join(lines) + "\n"), sink) == 0
    return [json.loads(line)["out"] for line in sink.getvalue().splitlines()]


def test_each_event_is_answered_with_the_simulators_messages() -> None:
    first, *_ = replies([batch(1.0, *attach_events(0), request_event(0, 1))])
    assert [action["verb"] for action in first] == ["DEFER", "DEFER", "HAND_OFF"]
    backend = first[-1]["backend"]
    actions = replies(
        [
            batch(1.0),
            batch(1.0, *attach_events(0), request_event(0, 1)),
            batch(2.0, {"verb": "CARRIED", "i": 0, "msgId": 2, "type": "feed", "backend": 11, "bitmap": 0}),
            batch(9.0, {"verb": "HEAD_RECEIVED", "i": 0, "msgId": 1, "attempt": 0, "backend": backend}),
            batch(
                9.5,
                {"verb": "UPDATE_OF", "i": 0, "msgId": 1, "backend": backend, "what": 1, "amount": 9.0},
                {"verb": "UPDATE_OF", "i": 0, "msgId": 1, "backend": backend, "what": 2, "amount": 90.0},
            ),
            batch(
                20.0,
                {
                    "verb": "COMPLETED",
                    "i": 0,
                    "msgId": 1,
                    "attempt": 0,
                    "backend": backend,
                    "code": 1,
                    "doneFlag": True,
                },
                {"verb": "GONE", "i": 0, "msgId": 2},
                {"verb": "PROBE_RESULT", "i": 0, "backend": 18, "code": 1, "delaySeen": 2.0},
                {"verb": "MEMO", "i": 0, "src": 1, "raw": "x"},
            ),
            batch(5000.0, {"verb": "TICK_DUE", "i": 0, "cookie": 2}),
            batch(5001.0, {"verb": "MEMBERSHIP", "i": 0, "rev": 2, "form": "unavailable"}),
            batch(
                5002.0,
                {"verb": "MEMBERSHIP", "i": 0, "rev": 2, "form": "replace", "members": []},
                request_event(0, 3),
            ),
            batch(5900.0, {"verb": "TICK_DUE", "i": 0, "cookie": 0}),
            batch(5950.0, {"verb": "CRASH_NOW", "i": 0}, *attach_events(0)),
        ]
    )
    assert [action["verb"] for action in actions[6]] == ["TRACK"]
    assert [action["verb"] for action in actions[7]] == ["DEFER"]
    assert not [action for action in actions[8] if action["verb"] == "HAND_OFF"]
    assert len(actions) == 11


@pytest.mark.parametrize(
    "line,expected",
    [
        ("{", "not JSON"),
        ("[1]", "must be an object"),
        ('{"input": []}', "moment"),
        (batch(1.0, {"verb": "NEWS", "i": 0}), "never attached"),
        (batch(1.0, *attach_events(0), {"verb": "NEWS", "i": 0}), "unknown event"),
        (
            batch(1.0, *attach_events(0), {"verb": "ORDER", "i": 0, "msgId": 1, "type": "feed"}),
            "patienceLeft",
        ),
        (
            batch(
                1.0, *attach_events(0), {"verb": "COMPLETED", "i": 0, "msgId": 1, "backend": 1, "code": 44}
            ),
            "44",
        ),
        (batch(1.0, {"verb": "ATTACH", "i": 0, "salt": 1}), "setup"),
        ('{"moment": 1, "input": [7]}', "unusable"),
    ],
)
def test_malformed_input_ends_with_one_line_of_error(
    line: str, expected: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert benchlink.main(io.StringIO(line + "\n"), io.StringIO()) != 0
    (message,) = capsys.readouterr().err.splitlines()
    assert expected in message and "Traceback" not in message


def test_exception_in_the_module_becomes_a_crash(monkeypatch: pytest.MonkeyPatch) -> None:
    def fail(*_: object) -> None:
        raise RuntimeError("broken on purpose")

    monkeypatch.setattr(Balancer, "handle", fail)
    (actions,) = replies([batch(1.0, *attach_events(4)[:1], {"verb": "GONE", "i": 4, "msgId": 1})])
    assert actions == [{"verb": "CRASH", "i": 4, "bodyText": "RuntimeError: broken on purpose"}]


def test_invalid_settings_are_reported_as_crash_with_the_field() -> None:
    (actions,) = replies([batch(1.0, *attach_events(0, nInstances=0)[:1])])
    assert actions[0]["verb"] == "CRASH" and "balancers" in actions[0]["bodyText"]


def scripted_batches(instances: list[int]) -> list[str]:
    """Return lines of input with requests, ends of attempts and timers for these instances."""
    lines = [
        batch(
            1.0, *[event for instance in instances for event in attach_events(instance, selfIndex=instance)]
        )
    ]
    for step in range(60):
        events = [
            request_event(instance, step * 100 + instance * 10 + number)
            for instance in instances
            for number in range(4)
        ]
        events += [
            {
                "verb": "COMPLETED",
                "i": instance,
                "msgId": (step - 1) * 100 + instance * 10,
                "attempt": 0,
                "backend": 11 + step % 8,
                "code": step % 6,
            }
            for instance in instances
            if step
        ]
        events += [{"verb": "TICK_DUE", "i": instance, "cookie": step % 2} for instance in instances]
        lines.append(batch(10.0 + 40.0 * step, *events))
    return lines


def run_process(lines: list[str], hash_seed: str) -> list[list[dict[str, Any]]]:
    """Run the adapter in a new process and return its actions for each line."""
    command = [sys.executable, "-m", "crowgap.benchlink"]
    result = subprocess.run(
        command,
        input="\n".join(lines) + "\n",
        cwd=ROOT,
        text=True,
        capture_output=True,
        check=True,
        env={"PYTHONHASHSEED": hash_seed},
    )
    return [json.loads(line)["out"] for line in result.stdout.splitlines()]


def test_same_actions_under_other_hash_seeds_and_in_several_processes() -> None:
    from_one_process = run_process(scripted_batches([0, 1, 2]), "1")
    assert from_one_process == run_process(scripted_batches([0, 1, 2]), "4242")
    from_separate_processes = [
        run_process(scripted_batches([instance]), str(instance)) for instance in (0, 1, 2)
    ]
    for index, actions in enumerate(from_one_process):
        for instance in (0, 1, 2):
            assert [action for action in actions if action["i"] == instance] == from_separate_processes[
                instance
            ][index]
    assert any(action["verb"] == "HAND_OFF" for actions in from_one_process for action in actions)
