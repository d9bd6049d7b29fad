"""Adapter between the simulator's JSON messages and the decision module: it translates and decides nothing.

It reads batches of events from standard input, one JSON object a line, and writes the reply to each, also one
line, to standard output.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import IO, Any

from crowgap import interface
from crowgap.policy import Balancer

EFFECTS = {
    "read_like": interface.Effect.SAFE,
    "idempotency_key": interface.Effect.KEYED,
    "non_idempotent": interface.Effect.UNSAFE,
}
OUTCOMES = {
    0: interface.Outcome.ERROR,
    1: interface.Outcome.OK,
    2: interface.Outcome.FULL,
    3: interface.Outcome.TIMEOUT,
    4: interface.Outcome.CONNECT_FAILED,
    5: interface.Outcome.RESET,
    6: interface.Outcome.CANCELLED,
    7: interface.Outcome.UNSENT,
}
STATES = {"active": interface.State.READY, "leaving": interface.State.DRAINING, "left": interface.State.GONE}
LIST_KINDS = {
    "update": interface.ListKind.CHANGES,
    "replace": interface.ListKind.FULL,
    "restored": interface.ListKind.RESTORED,
    "unavailable": interface.ListKind.FAILED,
}
# Text by which the settings' description of a probe report's field shows that the field is the backend's load
# over its capacity; see ``Settings.load_reported``.
LOAD_FIELD_DESCRIPTION = "over what it can do"
# Bit of a request's field "bitmap" that marks a midflow request.
MIDFLOW_BIT = 8
# Values of the field "what" in an update of an open connection.
LOAD_CHANGED_CODE = 1
MESSAGE_DELAY_CODE = 2
JsonObject = dict[str, Any]


class MalformedInput(Exception):
    """The input is not in the simulator's format; the text says why."""


def settings_from(raw_settings: JsonObject) -> interface.Settings:
    """Translate the simulator's settings.

    Unknown keys are ignored; missing ones get defaults, except for names and a class's deadline.
    """
    family_info, limits = raw_settings.get("familyInfo", {}), raw_settings.get("limits", {})
    invariants = raw_settings.get("invariants", {})
    target_message_delays = family_info.get("messageAim") or []
    quotas = family_info.get("tenantQuotaConnections") or []
    classes = tuple(
        interface.RequestClass(
            name=raw_class["name"],
            target_setup_time=raw_class.get("aim", raw_class["deadline"]),
            deadline=raw_class["deadline"],
            priority=raw_class.get("points", 1.0),
            target_message_delay=target_message_delays[class_index]
            if class_index < len(target_message_delays)
            else 0.0,
            effect=EFFECTS[raw_class.get("effect", "non_idempotent")],
            deduplication_scope=interface.DeduplicationScope(raw_class.get("keyScope", "all")),
            deduplication_window=raw_class.get("memorySpan", 0.0),
        )
        for class_index, raw_class in enumerate(raw_settings.get("classes", []))
    )
    tenants = tuple(
        interface.Tenant(tenant["name"], quota)
        for tenant, quota in zip(raw_settings.get("tenants") or [], quotas, strict=False)
        if quota is not None
    )
    return interface.Settings(
        classes=classes,
        balancers=raw_settings.get("nInstances", 1),
        index=raw_settings.get("selfIndex", 0),
        zone=raw_settings.get("zone", ""),
        tenants=tenants,
        must_subscribe=raw_settings.get("registryMode") == "on_request",
        ask_every=invariants.get("askEvery", 10000.0),
        max_attempts=limits.get("mostTries", 1),
        connect_timeout=limits.get("connectTimeout", 250.0),
        max_retry_after=limits.get("maxRetryAfter", 0.0) if limits.get("retryAfter") else 0.0,
        cold_time=invariants.get("cold", 0.0),
        cold_from=invariants.get("coldFrom", 1.0),
        fall_multiple=invariants.get("fallMultiple", 1.0),
        overload_for=invariants.get("overloadFor", 1000.0),
        drain_grace=invariants.get("drainGrace", 3000.0),
        load_reported=load_field_index(raw_settings) is not None,
        live_weights=raw_settings.get("weights") == "live",
        probes_allowed=bool(limits.get("probes", False)),
        tick=raw_settings.get("tick", 1.0),
    )


def load_field_index(raw_settings: JsonObject) -> int | None:
    """Return the index of the field of a probe report with the backend's load over its capacity, if any."""
    fields = raw_settings.get("report", {}).get("fields") or []
    descriptions = raw_settings.get("familyInfo", {})
    return next(
        (
            index
            for index, name in enumerate(fields)
            if LOAD_FIELD_DESCRIPTION in str(descriptions.get(f"report{str(name).upper()}", ""))
        ),
        None,
    )


def _backend_entry(member: JsonObject) -> interface.BackendEntry:
    return interface.BackendEntry(
        member["backend"],
        STATES[member["status"]],
        member.get("rackZone", ""),
        member.get("unitGroup", 0),
        member.get("powerHint", 1.0),
        member.get("born", 0.0),
    )


def _list_update(event: JsonObject) -> interface.ListUpdate:
    return interface.ListUpdate(
        LIST_KINDS[event["form"]], [_backend_entry(member) for member in event.get("members") or []]
    )


def _request(event: JsonObject) -> interface.Request:
    return interface.Request(
        event["msgId"],
        event["type"],
        event["patienceLeft"],
        event.get("nameKey", ""),
        event.get("teamId", ""),
        event.get("party") or "",
        bool(event.get("bitmap", 0) & MIDFLOW_BIT),
    )


def _existing_connection(event: JsonObject) -> interface.ExistingConnection:
    return interface.ExistingConnection(
        event["msgId"],
        event["type"],
        event["backend"],
        event.get("nameKey", ""),
        event.get("teamId", ""),
        event.get("party") or "",
    )


def _established(event: JsonObject) -> interface.Established:
    return interface.Established(
        event["msgId"], event.get("attempt", 0), event["backend"], event.get("delaySeen", 0.0)
    )


def _connection_report(event: JsonObject) -> interface.DelayReport | interface.LoadReport | None:
    if event["what"] == LOAD_CHANGED_CODE:
        return interface.LoadReport(event["msgId"], event["backend"], event["amount"])
    return (
        interface.DelayReport(event["msgId"], event["backend"], event["amount"])
        if event["what"] == MESSAGE_DELAY_CODE
        else None
    )


def _ended(event: JsonObject) -> interface.Ended:
    return interface.Ended(
        event["msgId"],
        event.get("attempt", 0),
        event["backend"],
        OUTCOMES[event.get("code", 0)],
        event.get("delaySeen", 0.0),
        event.get("doneFlag", False),
    )


def _client_left(event: JsonObject) -> interface.ClientLeft:
    return interface.ClientLeft(event["msgId"])


def _timer_due(event: JsonObject) -> interface.TimerDue:
    return interface.TimerDue(event.get("cookie", 0))


def _probe_result(event: JsonObject, load_index: int | None = None) -> interface.ProbeResult:
    if OUTCOMES[event.get("code", 0)] is not interface.Outcome.OK:
        return interface.ProbeResult(event["backend"], -1.0)
    report = event.get("gauge") or []
    load = report[load_index] if load_index is not None and load_index < len(report) else None
    return interface.ProbeResult(
        event["backend"], event.get("delaySeen", 0.0), -1.0 if load is None else float(load)
    )


EVENT_TRANSLATORS: dict[str, Callable[[JsonObject], interface.Event | None]] = {
    "MEMBERSHIP": _list_update,
    "ORDER": _request,
    "CARRIED": _existing_connection,
    "HEAD_RECEIVED": _established,
    "UPDATE_OF": _connection_report,
    "COMPLETED": _ended,
    "GONE": _client_left,
    "TICK_DUE": _timer_due,
    "PROBE_RESULT": _probe_result,
}
# Messages from other balancers: this module sends none and ignores any that arrive.
IGNORED_EVENTS = frozenset({"MEMO"})

ACTION_TRANSLATORS: dict[type, Callable[[Any], JsonObject]] = {
    interface.Send: lambda action: {
        "verb": "HAND_OFF",
        "msgId": action.request,
        "backend": action.backend,
        "maxWait": action.timeout,
    },
    interface.Refuse: lambda action: {"verb": "SHED", "msgId": action.request, "pause": action.retry_after},
    interface.Fail: lambda action: {"verb": "LOSE", "msgId": action.request},
    interface.Move: lambda action: {"verb": "SHIFT", "msgId": action.request},
    interface.SetTimer: lambda action: {"verb": "DEFER", "at": action.at, "cookie": action.token},
    interface.Subscribe: lambda action: {"verb": "TRACK", "enable": True},
    interface.Probe: lambda action: {"verb": "PROBE", "backend": action.backend},
}


class Adapter:
    """The balancers of this process, by the simulator's instance number, with their translation."""

    def __init__(self) -> None:
        self.balancers: dict[int, Balancer | None] = {}  # None if the settings were invalid
        self.load_indexes: dict[int, int | None] = {}  # see ``load_field_index``

    def answer_batch(self, line: str) -> JsonObject:
        """Handle the events of one line of input and return the reply.

        Raises MalformedInput if the line is not in the simulator's format.
        """
        try:
            message = json.loads(line)
        except ValueError as error:
            raise MalformedInput(f"not JSON: {error}") from error
        if not isinstance(message, dict):
            raise MalformedInput("a batch must be an object")
        reply: list[JsonObject] = []
        try:
            now = float(message["moment"])
            events = message["input"]
            for event in events:
                self._handle_event(now, event, reply)
        except KeyError as error:
            raise MalformedInput(f"missing field or unknown name {error}") from error
        except (TypeError, ValueError, AttributeError) as error:
            raise MalformedInput(f"unusable value: {error}") from error
        return {"out": reply}

    def _handle_event(self, now: float, event: JsonObject, reply: list[JsonObject]) -> None:
        verb = event["verb"]
        instance = event["i"]
        if verb == "ATTACH":
            raw_settings = event["setup"]
            salt = int(event["salt"])
            try:
                self.balancers[instance] = Balancer(settings_from(raw_settings), salt)
                self.load_indexes[instance] = load_field_index(raw_settings)
            except ValueError as error:
                self.balancers[instance] = None
                reply.append(crash_report(instance, error))
            return
        if instance not in self.balancers:
            raise MalformedInput(f"instance {instance} never attached")
        balancer = self.balancers[instance]
        if balancer is None:
            return  # its settings were invalid, as the reply to ATTACH has reported
        if verb == "CRASH_NOW":
            del self.balancers[instance]
        elif verb in EVENT_TRANSLATORS:
            translated = (
                _probe_result(event, self.load_indexes[instance])
                if verb == "PROBE_RESULT"
                else EVENT_TRANSLATORS[verb](event)
            )
            if translated is None:
                return
            try:
                actions = balancer.handle(now, translated)
            except Exception as error:
                reply.append(crash_report(instance, error))
                return
            for action in actions:
                message = ACTION_TRANSLATORS[type(action)](action)
                message["i"] = instance
                reply.append(message)
        elif verb not in IGNORED_EVENTS:
            raise MalformedInput(f"unknown event {verb!r}")


def crash_report(instance: int, error: Exception) -> JsonObject:
    """Return the message that reports an exception in the decision module, or invalid settings."""
    return {"verb": "CRASH", "i": instance, "bodyText": f"{type(error).__name__}: {error}"}


def main(source: IO[str] = sys.stdin, sink: IO[str] = sys.stdout) -> int:
    """Answer batches until the input ends; return the exit status, 2 after malformed input."""
    adapter = Adapter()
    for line in source:
        if not line.strip():
            continue
        try:
            reply = adapter.answer_batch(line)
        except MalformedInput as error:
            print(f"crowgap: bad input: {error}", file=sys.stderr)
            return 2
        sink.write(json.dumps(reply, separators=(",", ":")) + "\n")
        sink.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
