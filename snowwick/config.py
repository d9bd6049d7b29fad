"""Reads and validates the configuration and supplies its defaults."""

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
from crowgap.interface import Effect, Settings
from snowwick.net.pool_config import parse_address

DEFAULT_SOCKETS = 1024
DEFAULT_MESSAGE_AIM_MS = 100.0
# A change of these on SIGHUP causes no warning that a restart is needed: `discovery` is applied at once, and
# `known` is used at the start only.
RELOADABLE_FIELDS = ("discovery", "known")


class BadConfig(Exception):
    """The configuration is invalid; the message names the faulty key."""


@dataclass(slots=True, frozen=True)
class Config:
    """The configuration of one balancer."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    settings: Settings
    seed: int = 0
    sockets: int = DEFAULT_SOCKETS
    groups: bool = False
    # Name of the load report's figure for a destination's load over its capacity; empty if none
    load_field: str = ""
    tenants: frozenset[str] = frozenset()
    message_aim_ms: float = DEFAULT_MESSAGE_AIM_MS  # the shortest target delay of messages
    known: dict[str, Any] = field(default_factory=dict)  # discovery's list as stored before the start

    @property
    def deadlines(self) -> dict[str, float]:
        """The longest time in ms that a client waits for its answer, by class."""
        return {request_class.name: request_class.deadline for request_class in self.settings.classes}

    @property
    def safe_classes(self) -> frozenset[str]:
        """The names of the classes whose requests may be repeated at any time."""
        return frozenset(
            request_class.name
            for request_class in self.settings.classes
            if request_class.effect is Effect.SAFE
        )


def load(environment: Mapping[str, str] = os.environ) -> Config:
    """Read the file that GW_CONFIG names, apply the other GW_ variables and validate the result."""
    return _read(environment, {"GW_NAME": "name", "GW_LISTEN": "listen", "GW_DISCOVERY": "discovery"})


def reload(environment: Mapping[str, str] = os.environ) -> Config:
    """Read the file again while serving.

    GW_DISCOVERY only applies to the start; a reload uses discovery's address from the file.
    """
    return _read(environment, {"GW_NAME": "name", "GW_LISTEN": "listen"})


def _read(environment: Mapping[str, str], overrides: Mapping[str, str]) -> Config:
    path = environment.get("GW_CONFIG")
    if not path:
        raise BadConfig("GW_CONFIG: not set; must name the JSON file with the configuration")
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
    for variable, key in overrides.items():
        if environment.get(variable):
            raw[key] = environment[variable]
    return check(raw)


def check(raw: dict[str, Any]) -> Config:
    """Validate the configuration and build it from the parsed JSON object."""
    setup = _object(raw, "settings", required=True)
    limits, family_info = _object(raw, "limits"), setup.get("familyInfo")
    family_info = family_info if isinstance(family_info, dict) else {}
    sockets = limits.get("sockets", DEFAULT_SOCKETS)
    if not isinstance(sockets, int) or isinstance(sockets, bool) or sockets < 64:
        raise BadConfig(f"limits.sockets: must be a whole number of at least 64, not {sockets!r}")
    known = _object(raw, "known") or {"version": 0, "full": True, "servers": []}
    if not isinstance(known.get("servers"), list):
        raise BadConfig("known.servers: must be a list of servers")
    aims = [aim for aim in family_info.get("messageAim") or [] if isinstance(aim, int | float) and aim > 0]
    return Config(
        name=_text(raw, "name", "balancer"),
        listen=_address(raw, "listen"),
        discovery=_address(raw, "discovery"),
        settings=_settings(setup),
        seed=_seed(raw.get("seed", 0)),
        sockets=min(sockets, _raise_descriptor_limit(sockets)),
        groups=bool(family_info.get("groups", False)),
        load_field=_load_field(setup),
        tenants=_tenants(setup),
        message_aim_ms=float(min(aims, default=DEFAULT_MESSAGE_AIM_MS)),
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
        raise BadConfig(f"{key}: " + ("must be a non-empty string" if key in raw else "is missing"))
    return value


def _address(raw: dict[str, Any], key: str) -> tuple[str, int]:
    try:
        return parse_address(_text(raw, key))
    except ValueError as error:
        raise BadConfig(f"{key}: {error}") from error


def _settings(setup: dict[str, Any]) -> Settings:
    balancer_count, index = setup.get("nInstances", 1), setup.get("selfIndex", 0)
    if not isinstance(balancer_count, int) or isinstance(balancer_count, bool) or balancer_count < 1:
        raise BadConfig(f"settings.nInstances: must be a whole number of at least 1, not {balancer_count!r}")
    if not isinstance(index, int) or isinstance(index, bool) or not 0 <= index < balancer_count:
        raise BadConfig(
            f"settings.selfIndex: must be a whole number from 0 to {balancer_count - 1}, not {index!r}"
        )
    try:
        return settings_from(setup)
    except KeyError as error:
        raise BadConfig(f"settings: missing field or unknown name {error}") from error
    except (TypeError, ValueError, AttributeError) as error:
        raise BadConfig(f"settings: {error}") from error


def _load_field(setup: dict[str, Any]) -> str:
    index = load_field_index(setup)
    return "" if index is None else str(setup["report"]["fields"][index])


def _tenants(setup: dict[str, Any]) -> frozenset[str]:
    """Return the names of all tenants, including those without a quota of connections."""
    try:
        return frozenset(str(tenant["name"]) for tenant in setup.get("tenants") or [])
    except (KeyError, TypeError) as error:
        raise BadConfig("settings.tenants: must be a list of objects with a name") from error


def _seed(value: Any) -> int:
    if isinstance(value, int) and not isinstance(value, bool):
        return value
    if not isinstance(value, str):
        raise BadConfig(f"seed: must be a string or a whole number, not {value!r}")
    return int.from_bytes(blake2b(value.encode(), digest_size=8).digest(), "big")


def _raise_descriptor_limit(wanted: int) -> int:
    """Raise this process's limit of file descriptors to ``wanted`` if allowed, and return the limit."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY:
        return wanted
    if soft < wanted:
        soft = wanted if hard == resource.RLIM_INFINITY else min(wanted, hard)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    return soft
