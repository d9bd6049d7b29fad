"""The operators' fleet file: its form (version 1) and its checks."""

from __future__ import annotations

import os
import stat
from hashlib import blake2b
from pathlib import Path
from typing import Annotated

import msgspec

from snowwick.toml_reader import TomlReader

MIN_KEY_BYTES = 16  # bytes: a shorter key can be guessed

Address = Annotated[str, msgspec.Meta(pattern=r"^[^:\s]+:\d{1,5}$")]
Positive = Annotated[float, msgspec.Meta(gt=0.0)]


class FleetFileError(ValueError):
    """The file cannot be used; ``faults`` holds a line for each fault, its full key path first."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


class Links(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """How this balancer reaches the others."""

    listen: Address
    key_file: str
    seeds: list[Address]
    address: Address | None = None  # where the others reach this one, if that is not ``listen``
    old_key_file: str | None = None  # taken from others too, while keys are changed
    period_ms: Annotated[float, msgspec.Meta(ge=20.0, le=5000.0)] = 200.0
    routes: dict[str, Address] = {}  # other addresses by which this one reaches some members' own


class Share(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """What is told and heeded."""

    health: bool = True
    list: bool = True
    load: bool = True
    rights: bool = True
    discovery: str = "discovery"  # versions are compared only among balancers that name the same


class FleetFile(msgspec.Struct, frozen=True):
    """The whole file, checked; ``keys`` holds the key to send under, then those that are taken too."""

    links: Links
    share: Share
    keys: tuple[bytes, ...]
    digest: str  # of what should be the same at all: balancers with different files say so


def _key(reader: TomlReader, path: str, name: str, folder: Path) -> bytes | None:
    """The key in a file that only its owner may read."""
    where = folder / name
    try:
        with where.open("rb") as file:
            about = os.fstat(file.fileno())
            data = file.read(4096).strip()
    except OSError as error:
        reader.add_fault(path, f"cannot read {where}: {error.strerror}")
        return None
    if about.st_mode & (stat.S_IRWXG | stat.S_IRWXO):
        reader.add_fault(path, f"{where} may be read by others than its owner; chmod 600 it")
    elif about.st_uid != os.geteuid():
        reader.add_fault(path, f"{where} belongs to another user")
    elif len(data) < MIN_KEY_BYTES:
        reader.add_fault(path, f"{where} holds {len(data)} bytes; a key has at least {MIN_KEY_BYTES}")
    else:
        return blake2b(data, digest_size=32, person=b"snowwick-fleet").digest()
    return None


def parse(text: str, folder: Path) -> FleetFile:
    """Check a file's text; key files are named from ``folder``.  Raises BadFleet with every fault found."""
    reader = TomlReader()
    raw = reader.parse(text, {"links", "share"})
    links = (
        reader.read_struct("links", reader.read_table(raw, "links", required=True), Links) if raw else None
    )
    share = reader.read_struct("share", reader.read_table(raw, "share"), Share) if raw else None
    keys: list[bytes] = []
    if links is not None:
        for path, name in (("links.key_file", links.key_file), ("links.old_key_file", links.old_key_file)):
            if name is not None and (key := _key(reader, path, name, folder)) is not None:
                keys.append(key)
        for path, address in [
            ("links.listen", links.listen),
            ("links.address", links.address),
            *((f"links.seeds.{n}", one) for n, one in enumerate(links.seeds)),
            *((f"links.routes.{n}", one) for n, one in links.routes.items()),
        ]:
            if address is not None and int(address.rpartition(":")[2]) > 65535:
                reader.add_fault(path, f"{address!r} has no such port")
        if len(keys) == 2 and keys[0] == keys[1]:
            reader.add_fault("links.old_key_file", "holds the same key as links.key_file")
    if reader.faults or links is None or share is None:
        raise FleetFileError(reader.faults)
    common = repr((links.period_ms, msgspec.structs.astuple(share)))  # addresses are each balancer's own
    return FleetFile(links, share, tuple(keys), blake2b(common.encode(), digest_size=6).hexdigest())


def load(path: str | Path) -> FleetFile:
    """Read a file; raises BadFleet, also where it cannot be read."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise FleetFileError([f"cannot read {path}: {error}"]) from error
    return parse(text, Path(path).parent)
