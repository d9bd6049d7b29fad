"""The adapter after a long quiet time: python review/after-quiet/check.py, from the root, after the build.

It starts the line ``sim`` of the deploy file and plays one instance with eight servers on the simulator's
wire: a client of one group is served, then nothing comes for a given time in which only the instance's own
timers are due, and then clients of other groups come. The clock is the batches'. Exit code 1: the decision
code failed, or a request got no attempt; 0: every request got an attempt; 2: it could not run.
"""

from __future__ import annotations

import heapq
import json
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
QUIET_HOURS = (1.0, 6.0, 6.5)
SETUP = {
    "classes": [
        {
            "name": "level",
            "aim": 300.0,
            "deadline": 1200.0,
            "effect": "read_like",
            "points": 1.0,
            "stream": True,
        }
    ],
    "family": "conn",
    "familyInfo": {"groups": True, "messageAim": [50.0], "tenantQuotaConnections": [170.0, 170.0]},
    "invariants": {"askEvery": 10000.0, "cold": 8800.0, "coldFrom": 0.3, "drainGrace": 3000.0},
    "limits": {"connectTimeout": 250.0, "mostTries": 3, "retryAfter": True, "maxRetryAfter": 600.0},
    "nInstances": 1,
    "selfIndex": 0,
    "registryMode": "pushed",
    "tenants": [{"name": "north", "share": 0.5}, {"name": "south", "share": 0.5}],
    "tick": 4.0,
    "zone": "depot",
}


class Adapter:
    """The adapter as a process, with the clock and the timers of one instance."""

    def __init__(self) -> None:
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["sim"]
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run], cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )
        self.now = 1.8e12
        self.timers: list[tuple[float, int]] = []

    def batch(self, *events: dict[str, Any]) -> list[dict[str, Any]]:
        """Send the events as one batch; keep the timers that it sets and return its other actions."""
        assert self.process.stdin is not None and self.process.stdout is not None
        message = {"moment": self.now, "input": [{"i": 0, **event} for event in events]}
        self.process.stdin.write(json.dumps(message) + "\n")
        self.process.stdin.flush()
        actions: list[dict[str, Any]] = json.loads(self.process.stdout.readline())["out"]
        for action in actions:
            if action["verb"] == "DEFER":
                heapq.heappush(self.timers, (action["at"], action["cookie"]))
        return [action for action in actions if action["verb"] != "DEFER"]

    def wait(self, ms: float) -> list[dict[str, Any]]:
        """Let this time pass with the timers that come due; return the crash reports in it, if any."""
        end, crashes = self.now + ms, list[dict[str, Any]]()
        while self.timers and self.timers[0][0] <= end:
            at, cookie = heapq.heappop(self.timers)
            self.now = max(self.now, at)
            actions = self.batch({"verb": "TICK_DUE", "cookie": cookie})
            crashes += [action for action in actions if action["verb"] == "CRASH"]
            if crashes:
                # The simulator ends the day here. The real program goes on, and its timer is set again.
                heapq.heappush(self.timers, (self.now + 500.0, cookie))
                break
        self.now = end
        return crashes

    def order(self, request: int, group: str) -> list[dict[str, Any]]:
        return self.batch(
            {"verb": "ORDER", "msgId": request, "party": "north", "nameKey": f"truck-{request}"}
            | {"teamId": group, "patienceLeft": 1200.0, "type": "level", "bitmap": 0}
        )


def play(hours: float) -> bool:
    """Play a quiet time of this length; return whether every request got an attempt and nothing failed."""
    adapter = Adapter()
    members = [
        {"backend": number, "rackZone": "depot", "model": "plain", "unitGroup": 0, "status": "active"}
        for number in range(1, 9)
    ]
    try:
        adapter.batch(
            {"verb": "ATTACH", "salt": 7, "setup": SETUP},
            {"verb": "MEMBERSHIP", "form": "restored", "rev": 1, "members": members},
        )
        sent = adapter.order(1, "route-1")
        request = {"msgId": 1, "attempt": 0, "backend": sent[0]["backend"], "delaySeen": 5.0}
        adapter.batch({"verb": "HEAD_RECEIVED", **request})
        adapter.wait(30000.0)
        adapter.batch({"verb": "COMPLETED", "code": 1, "doneFlag": True, **request})
        crashes = adapter.wait(hours * 3600.0 * 1000.0)
        answers = [adapter.order(2 + number, f"route-{2 + number}") for number in range(5)]
    finally:
        adapter.process.kill()
        adapter.process.wait()
    print(f"{hours} h of quiet: crash reports of timers {crashes}; then five requests of other groups:")
    for answer in answers:
        print(f"  {answer}")
    return not crashes and all(answer[0]["verb"] == "HAND_OFF" for answer in answers)


def main() -> int:
    if not (ROOT / ".venv/bin/python").exists():
        return 2
    return 0 if all([play(hours) for hours in QUIET_HOURS]) else 1


if __name__ == "__main__":
    sys.exit(main())
