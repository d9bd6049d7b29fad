"""The one place where configuration is read, checked and given defaults."""

from __future__ import annotations

import json
import os
import resource
from collections.abc import Mapping
from dataclasses import dataclass, field
from hashlib import blake2b
from pathlib import Path
from typing import Any

from crowgap.benchlink import load_field_index, settings_from
from crowgap.interface import Settings
from snowwick.net.pool import parse_address

SOCKETS = 1024
MESSAGE_AIM_MS = 100.0
RELOADABLE_FIELDS = (
    "discovery",
    "known",
)  # reread on SIGHUP; `known` only matters at a start, so it is never "changed"


class BadConfig(Exception):
    """The text names the faulty key."""


@dataclass(slots=True, frozen=True)
class Config:
    """What a balancer is told at its start."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    settings: Settings
    seed: int = 0
    sockets: int = SOCKETS
    groups: bool = False
    load_field: str = ""  # of a destination's report: the load asked of it over what it can do
    tenants: frozenset[str] = frozenset()
    message_aim_ms: float = MESSAGE_AIM_MS
    known: dict[str, Any] = field(default_factory=dict)

    @property
    def deadlines(self) -> dict[str, float]:
        """How many ms a client of each class waits at the most."""
        return {one.name: one.deadline for one in self.settings.classes}


def load(environment: Mapping[str, str] = os.environ) -> Config:
    """Read GW_CONFIG's file, put the other variables over it, check everything."""
    return _read(environment, {"GW_NAME": "name", "GW_LISTEN": "listen", "GW_DISCOVERY": "discovery"})


def reload(environment: Mapping[str, str] = os.environ) -> Config:
    """Read the file again while serving: its discovery counts, the variable held for the start only."""
    return _read(environment, {"GW_NAME": "name", "GW_LISTEN": "listen"})


def _read(environment: Mapping[str, str], over: Mapping[str, str]) -> Config:
    path = environment.get("GW_CONFIG")
    if not path:
        raise BadConfig("GW_CONFIG: not set; it names the JSON file with the configuration")
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise BadConfig(f"GW_CONFIG: cannot read {path}: {error}") from error
    try:
        raw = json.loads(text)
    except ValueError as error:
        raise BadConfig(f"GW_CONFIG: {path} is not JSON: {error}") from error
    if not isinstance(raw, dict):
        raise BadConfig(f"GW_CONFIG: {path} must hold an object")
    for variable, key in over.items():
        if environment.get(variable):
            raw[key] = environment[variable]
    return check(raw)


def check(raw: dict[str, Any]) -> Config:
    """Check the configuration as one object."""
    setup = _object(raw, "settings", required=True)
    limits, family = _object(raw, "limits"), setup.get("familyInfo")
    family = family if isinstance(family, dict) else {}
    sockets = limits.get("sockets", SOCKETS)
    if not isinstance(sockets, int) or isinstance(sockets, bool) or sockets < 64:
        raise BadConfig(f"limits.sockets: must be a whole number of at least 64, not {sockets!r}")
    known = _object(raw, "known") or {"version": 0, "full": True, "servers": []}
    if not isinstance(known.get("servers"), list):
        raise BadConfig("known.servers: must be a list of servers")
    aims = [aim for aim in family.get("messageAim") or [] if isinstance(aim, int | float) and aim > 0]
    return Config(
        name=_text(raw, "name", "balancer"),
        listen=_address(raw, "listen"),
        discovery=_address(raw, "discovery"),
        settings=_settings(setup),
        seed=_seed(raw.get("seed", 0)),
        sockets=min(sockets, _own_limit(sockets)),
        groups=bool(family.get("groups", False)),
        load_field=_load_field(setup),
        tenants=_tenants(setup),
        message_aim_ms=float(min(aims, default=MESSAGE_AIM_MS)),
        known=known,
    )


def _object(raw: dict[str, Any], key: str, required: bool = False) -> dict[str, Any]:
    value = raw.get(key)
    if value is None and not required:
        return {}
    if not isinstance(value, dict):
        raise BadConfig(f"{key}: " + ("must be an object" if key in raw else "is missing"))
    return value


def _text(raw: dict[str, Any], key: str, default: str | None = None) -> str:
    value = raw.get(key, default)
    if not isinstance(value, str) or not value:
        raise BadConfig(f"{key}: " + ("must be a text" if key in raw else "is missing"))
    return value


def _address(raw: dict[str, Any], key: str) -> tuple[str, int]:
    try:
        return parse_address(_text(raw, key))
    except ValueError as error:
        raise BadConfig(f"{key}: {error}") from error


def _settings(setup: dict[str, Any]) -> Settings:
    count, index = setup.get("nInstances", 1), setup.get("selfIndex", 0)
    if not isinstance(count, int) or isinstance(count, bool) or count < 1:
        raise BadConfig(f"settings.nInstances: must be a whole number of at least 1, not {count!r}")
    if not isinstance(index, int) or isinstance(index, bool) or not 0 <= index < count:
        raise BadConfig(f"settings.selfIndex: must be a whole number from 0 to {count - 1}, not {index!r}")
    try:
        return settings_from(setup)
    except KeyError as error:
        raise BadConfig(f"settings: missing field or unknown name {error}") from error
    except (TypeError, ValueError, AttributeError) as error:
        raise BadConfig(f"settings: {error}") from error


def _load_field(setup: dict[str, Any]) -> str:
    at = load_field_index(setup)
    return "" if at is None else str(setup["report"]["fields"][at])


def _tenants(setup: dict[str, Any]) -> frozenset[str]:
    """All tenants by name; those without a quota of connections are clients too."""
    try:
        return frozenset(str(one["name"]) for one in setup.get("tenants") or [])
    except (KeyError, TypeError) as error:
        raise BadConfig("settings.tenants: must be a list of objects with a name") from error


def _seed(value: Any) -> int:
    if isinstance(value, int) and not isinstance(value, bool):
        return value
    if not isinstance(value, str):
        raise BadConfig(f"seed: must be a text or a whole number, not {value!r}")
    return int.from_bytes(blake2b(value.encode(), digest_size=8).digest(), "big")


def _own_limit(wanted: int) -> int:
    """Descriptors that the system grants this process, raised to what is wanted where it may be."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY:
        return wanted
    if soft < wanted:
        soft = wanted if hard == resource.RLIM_INFINITY else min(wanted, hard)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    return soft
