"""Adapter between the bench's wire and the decision module: it translates and dispatches, it decides nothing.

One JSON batch a line comes in on standard input, one reply a line goes out on standard output.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import IO, Any

from crowgap import interface as i
from crowgap.policy import Balancer

EFFECTS = {
    "read_like": i.Effect.SAFE,
    "idempotency_key": i.Effect.KEYED,
    "non_idempotent": i.Effect.UNSAFE,
}
OUTCOMES = {
    0: i.Outcome.ERROR,
    1: i.Outcome.OK,
    2: i.Outcome.FULL,
    3: i.Outcome.TIMEOUT,
    4: i.Outcome.CONNECT_FAILED,
    5: i.Outcome.RESET,
    6: i.Outcome.CANCELLED,
    7: i.Outcome.UNSENT,
}
STATES = {"active": i.State.READY, "leaving": i.State.DRAINING, "left": i.State.GONE}
LIST_KINDS = {
    "update": i.ListKind.CHANGES,
    "replace": i.ListKind.FULL,
    "restored": i.ListKind.RESTORED,
    "unavailable": i.ListKind.FAILED,
}
LOAD_FIELD = "over what it can do"  # how the settings describe the field that `Settings.loads` is about
MIDFLOW, LOAD_CHANGED, MESSAGE_DELAY = 8, 1, 2
Wire = dict[str, Any]


class Malformed(Exception):
    """The input breaks the wire; the text says how."""


def settings_from(setup: Wire) -> i.Settings:
    """Translate the wire's settings; keys that are not known are skipped, missing ones take defaults."""
    family, limits = setup.get("familyInfo", {}), setup.get("limits", {})
    rules = setup.get("invariants", {})
    message_aims = family.get("messageAim") or []
    quotas = family.get("tenantQuotaConnections") or []
    classes = tuple(
        i.RequestClass(
            name=one["name"],
            aim=one.get("aim", one["deadline"]),
            deadline=one["deadline"],
            priority=one.get("points", 1.0),
            message_aim=message_aims[at] if at < len(message_aims) else 0.0,
            effect=EFFECTS[one.get("effect", "non_idempotent")],
            deduplication_scope=i.DeduplicationScope(one.get("keyScope", "all")),
            deduplication_window=one.get("memorySpan", 0.0),
        )
        for at, one in enumerate(setup.get("classes", []))
    )
    tenants = tuple(
        i.Tenant(one["name"], quota)
        for one, quota in zip(setup.get("tenants") or [], quotas, strict=False)
        if quota is not None
    )
    return i.Settings(
        classes=classes,
        balancers=setup.get("nInstances", 1),
        index=setup.get("selfIndex", 0),
        zone=setup.get("zone", ""),
        tenants=tenants,
        must_subscribe=setup.get("registryMode") == "on_request",
        list_refresh_interval=rules.get("askEvery", 10000.0),
        max_attempts=limits.get("mostTries", 1),
        connect_timeout=limits.get("connectTimeout", 250.0),
        max_retry_after=limits.get("maxRetryAfter", 0.0) if limits.get("retryAfter") else 0.0,
        warmup_time=rules.get("cold", 0.0),
        warmup_start_capacity=rules.get("coldFrom", 1.0),
        collapse_multiple=rules.get("fallMultiple", 1.0),
        overload_window=rules.get("overloadFor", 1000.0),
        drain_grace=rules.get("drainGrace", 3000.0),
        load_reported=load_field_index(setup) is not None,
        live_weights=setup.get("weights") == "live",
        probes_allowed=bool(limits.get("probes", False)),
        timer_resolution=setup.get("tick", 1.0),
    )


def load_field_index(setup: Wire) -> int | None:
    """Where in a load report the load asked of a server over what it can do stands, if it does."""
    fields = setup.get("report", {}).get("fields") or []
    meaning = setup.get("familyInfo", {})
    return next(
        (
            at
            for at, name in enumerate(fields)
            if LOAD_FIELD in str(meaning.get(f"report{str(name).upper()}", ""))
        ),
        None,
    )


def _entry(one: Wire) -> i.BackendEntry:
    return i.BackendEntry(
        one["backend"],
        STATES[one["status"]],
        one.get("rackZone", ""),
        one.get("unitGroup", 0),
        one.get("powerHint", 1.0),
        one.get("born", 0.0),
    )


def _members(e: Wire) -> i.ListUpdate:
    return i.ListUpdate(LIST_KINDS[e["form"]], [_entry(one) for one in e.get("members") or []])


def _request(e: Wire) -> i.Request:
    return i.Request(
        e["msgId"],
        e["type"],
        e["patienceLeft"],
        e.get("nameKey", ""),
        e.get("teamId", ""),
        e.get("party") or "",
        bool(e.get("bitmap", 0) & MIDFLOW),
    )


def _carried(e: Wire) -> i.ExistingConnection:
    return i.ExistingConnection(
        e["msgId"],
        e["type"],
        e["backend"],
        e.get("nameKey", ""),
        e.get("teamId", ""),
        e.get("party") or "",
    )


def _established(e: Wire) -> i.Established:
    return i.Established(e["msgId"], e.get("attempt", 0), e["backend"], e.get("delaySeen", 0.0))


def _note(e: Wire) -> i.DelayReport | i.LoadReport | None:
    if e["what"] == LOAD_CHANGED:
        return i.LoadReport(e["msgId"], e["backend"], e["amount"])
    return i.DelayReport(e["msgId"], e["backend"], e["amount"]) if e["what"] == MESSAGE_DELAY else None


def _ended(e: Wire) -> i.Ended:
    return i.Ended(
        e["msgId"],
        e.get("attempt", 0),
        e["backend"],
        OUTCOMES[e.get("code", 0)],
        e.get("delaySeen", 0.0),
        e.get("doneFlag", False),
    )


def _gone(e: Wire) -> i.ClientLeft:
    return i.ClientLeft(e["msgId"])


def _timer(e: Wire) -> i.TimerDue:
    return i.TimerDue(e.get("cookie", 0))


def _probed(e: Wire, load: int | None = None) -> i.ProbeResult:
    if OUTCOMES[e.get("code", 0)] is not i.Outcome.OK:
        return i.ProbeResult(e["backend"], -1.0)
    row = e.get("gauge") or []
    told = row[load] if load is not None and load < len(row) else None
    return i.ProbeResult(e["backend"], e.get("delaySeen", 0.0), -1.0 if told is None else float(told))


EVENTS: dict[str, Callable[[Wire], i.Event | None]] = {
    "MEMBERSHIP": _members,
    "ORDER": _request,
    "CARRIED": _carried,
    "HEAD_RECEIVED": _established,
    "UPDATE_OF": _note,
    "COMPLETED": _ended,
    "GONE": _gone,
    "TICK_DUE": _timer,
    "PROBE_RESULT": _probed,
}
# Messages between balancers are never asked for; what should still arrive is passed over.
UNUSED = frozenset({"MEMO"})

ACTIONS: dict[type, Callable[[Any], Wire]] = {
    i.Send: lambda a: {"verb": "HAND_OFF", "msgId": a.request, "backend": a.backend, "maxWait": a.timeout},
    i.Refuse: lambda a: {"verb": "SHED", "msgId": a.request, "pause": a.retry_after},
    i.Fail: lambda a: {"verb": "LOSE", "msgId": a.request},
    i.Move: lambda a: {"verb": "SHIFT", "msgId": a.request},
    i.SetTimer: lambda a: {"verb": "DEFER", "at": a.at, "cookie": a.token},
    i.Subscribe: lambda a: {"verb": "TRACK", "enable": True},
    i.Probe: lambda a: {"verb": "PROBE", "backend": a.backend},
}


class Link:
    """The instances of this process and their translation."""

    def __init__(self) -> None:
        self.balancers: dict[int, Balancer | None] = {}
        self.loads: dict[int, int | None] = {}

    def batch(self, line: str) -> Wire:
        """Answer one line of input."""
        try:
            message = json.loads(line)
        except ValueError as error:
            raise Malformed(f"not JSON: {error}") from error
        if not isinstance(message, dict):
            raise Malformed("a batch must be an object")
        out: list[Wire] = []
        try:
            now, events = float(message["moment"]), message["input"]
            for event in events:
                self._one(now, event, out)
        except KeyError as error:
            raise Malformed(f"missing field or unknown name {error}") from error
        except (TypeError, ValueError, AttributeError) as error:
            raise Malformed(f"unusable value: {error}") from error
        return {"out": out}

    def _one(self, now: float, event: Wire, out: list[Wire]) -> None:
        verb, instance = event["verb"], event["i"]
        if verb == "ATTACH":
            setup, salt = event["setup"], int(event["salt"])
            try:
                self.balancers[instance] = Balancer(settings_from(setup), salt)
                self.loads[instance] = load_field_index(setup)
            except ValueError as error:
                self.balancers[instance] = None
                out.append(crash(instance, error))
            return
        if instance not in self.balancers:
            raise Malformed(f"instance {instance} never attached")
        balancer = self.balancers[instance]
        if balancer is None:
            return  # its settings were refused, which the reply has said
        if verb == "CRASH_NOW":
            del self.balancers[instance]
        elif verb in EVENTS:
            translated = (
                _probed(event, self.loads[instance]) if verb == "PROBE_RESULT" else EVENTS[verb](event)
            )
            if translated is None:
                return
            try:
                actions = balancer.handle(now, translated)
            except Exception as error:
                out.append(crash(instance, error))
                return
            for action in actions:
                wire = ACTIONS[type(action)](action)
                wire["i"] = instance
                out.append(wire)
        elif verb not in UNUSED:
            raise Malformed(f"unknown event {verb!r}")


def crash(instance: int, error: Exception) -> Wire:
    """The wire's word for an exception in the module, so that a fault is told apart from bad input."""
    return {"verb": "CRASH", "i": instance, "bodyText": f"{type(error).__name__}: {error}"}


def main(source: IO[str] = sys.stdin, sink: IO[str] = sys.stdout) -> int:
    """Answer batches until the input ends."""
    link = Link()
    for line in source:
        if not line.strip():
            continue
        try:
            reply = link.batch(line)
        except Malformed as error:
            print(f"crowgap: bad input: {error}", file=sys.stderr)
            return 2
        sink.write(json.dumps(reply, separators=(",", ":")) + "\n")
        sink.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
