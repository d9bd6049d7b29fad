"""The program as a process, and its configuration."""

from __future__ import annotations

import ast
import fcntl
import json
import os
import re
import signal
import socket
import subprocess
import sys
import time
import tomllib
from pathlib import Path
from types import TracebackType
from typing import IO, Any

import pytest
from wire import SETTINGS, World, address_of, open_listener

from snowwick.broker import contract as contracts
from snowwick.config import BadConfig, check, load

ROOT = Path(__file__).parent.parent
# What the decision module may import: no sockets, files, processes, threads or clocks.
DECISION_IMPORTS = {
    "__future__",
    "bisect",
    "collections",
    "collections.abc",
    "crowgap",
    "dataclasses",
    "enum",
    "hashlib",
    "math",
    "random",  # of a seeded generator only
    "typing",
}
GOOD: dict[str, Any] = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": SETTINGS}


class Process(subprocess.Popen[str]):
    """Ends with a test that fails: waiting for it, as the library does, would hold the whole run up."""

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        if kind is not None:
            self.kill()
        super().__exit__(kind, error, trace)


def python(*words: str, **environment: str) -> Process:
    return Process(
        [sys.executable, *words],
        cwd=ROOT,
        text=True,
        env={**os.environ, **environment},
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )


def program(path: Path, command: str = "serve", **environment: str) -> Process:
    return python("-m", "snowwick", command, GW_CONFIG=str(path), **environment)


def address_in(stream: IO[str] | None) -> str:
    """The address at the end of the line that a program prints once it serves."""
    assert stream is not None
    return stream.readline().split()[-1]


def test_planned_end_moves_all_clients_and_answers_who_still_comes(tmp_path: Path) -> None:
    """SIGKILL follows SIGTERM after the longest deadline and 0.7 s: who is still held then is lost."""
    servers, path = open_listener(), tmp_path / "config.json"
    servers.settimeout(5.0)
    known = {"version": 1, "full": True, "servers": [World.list_entry("s-1", servers)]}
    path.write_text(json.dumps({**GOOD, "known": known}))
    with program(path) as process:
        where = address_in(process.stderr).split(":")
        client = socket.create_connection((where[0], int(where[1])), 5.0)
        client.sendall(b"OPEN 1 k1 d=1200,c=feed,t=n\r\n")
        destination = servers.accept()[0]
        destination.settimeout(5.0)
        assert destination.recv(4096).startswith(b"OPEN 1 k1 d=")
        destination.sendall(b"UP r\r\n")
        assert client.recv(4096) == b"UP r\r\n"
        process.send_signal(signal.SIGTERM)
        told = time.monotonic()
        late = socket.create_connection((where[0], int(where[1])), 5.0)
        assert client.recv(4096) == b"MOVE\r\n" and client.recv(4096) == b""
        assert destination.recv(4096) == b""
        late.sendall(b"OPEN 2 k2 d=1200,c=feed,t=n\r\n")
        assert late.recv(4096).startswith(b"BUSY ")
        for sock in (client, destination, late, servers):
            sock.close()
        assert process.wait(10.0) == 0
        assert time.monotonic() - told < 1.9


@pytest.mark.parametrize(
    "change,key",
    [
        ({"listen": None}, "listen"),
        ({"listen": "nowhere"}, "listen"),
        ({"discovery": "a:b"}, "discovery"),
        ({"settings": None}, "settings"),
        ({"settings": {}}, "settings"),
        ({"settings": []}, "settings"),
        ({"settings": {"classes": [{"name": "x"}]}}, "settings.*deadline"),
        ({"settings": {"classes": [{"name": "x", "deadline": "soon"}]}}, "settings"),
        ({"settings": {**SETTINGS, "familyInfo": 3}}, "settings"),
        ({"limits": 5}, "limits"),
        ({"limits": {"sockets": "many"}}, "limits.sockets"),
        ({"seed": 1.5}, "seed"),
        ({"known": {"version": 1}}, "known.servers"),
        *[
            ({"settings": {**SETTINGS, "nInstances": bad}}, "settings.nInstances: ")
            for bad in (0, -1, "40", 2.5, True)
        ],
        *[
            ({"settings": {**SETTINGS, "nInstances": 2, "selfIndex": bad}}, "settings.selfIndex: ")
            for bad in (2, -1, "0", None)
        ],
        ({"name": 7}, "name"),
    ],
)
def test_bad_configuration_names_its_key(change: dict[str, Any], key: str) -> None:
    with pytest.raises(BadConfig, match=f"^{key}"):
        check({**GOOD, **change})


def test_environment_goes_over_the_file(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(GOOD))
    one = load({"GW_CONFIG": str(path), "GW_NAME": "n3", "GW_LISTEN": "127.0.0.2:9"})
    assert (one.name, one.listen, one.discovery) == ("n3", ("127.0.0.2", 9), ("127.0.0.1", 1))
    with pytest.raises(BadConfig, match="GW_CONFIG"):
        load({})


def test_bad_configuration_ends_the_program_with_one_message(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text('{"listen": "127.0.0.1:0"}')
    with program(path) as process:
        _, said = process.communicate(timeout=20.0)
    assert process.returncode == 2 and said.count("\n") == 1 and "settings" in said


def test_taken_address_is_named(tmp_path: Path) -> None:
    taken, path = open_listener(), tmp_path / "config.json"
    path.write_text(json.dumps({**GOOD, "listen": address_of(taken)}))
    with program(path) as process:
        _, said = process.communicate(timeout=20.0)
    taken.close()
    assert process.returncode != 0 and said.startswith("snowwick: listen") and "Traceback" not in said


def serves_until_told(process: subprocess.Popen[str], where: list[str]) -> None:
    """It answers still, and ends in order on SIGTERM, whatever SIGHUP comes on top."""
    with socket.create_connection((where[0], int(where[1])), 5.0) as client:
        client.sendall(b"PING\r\n")
        assert client.recv(4096) == b"PONG\r\n"
    process.send_signal(signal.SIGTERM)
    process.send_signal(signal.SIGHUP)
    process.send_signal(signal.SIGTERM)  # again: it ends no sooner and no worse
    assert process.wait(10.0) == 0


def test_hangup_signal_rereads_the_file_and_ends_nothing(tmp_path: Path) -> None:
    """The signal's usual effect is the end of the program: the balancer crashed at each new configuration."""
    path, other = tmp_path / "config.json", open_listener()
    path.write_text(json.dumps(GOOD))
    # The variable held for the start: the file replaced since must go over it.
    with program(path, GW_DISCOVERY="127.0.0.1:1") as process:
        where = address_in(process.stderr).split(":")
        path.write_text("{")
        process.send_signal(signal.SIGHUP)
        assert process.stderr is not None
        assert "not JSON" in process.stderr.readline()
        path.write_text(json.dumps({**GOOD, "discovery": address_of(other)}))
        for _ in range(3):
            process.send_signal(signal.SIGHUP)
        other.settimeout(5.0)
        call, _ = other.accept()
        call.settimeout(5.0)
        assert call.recv(4096).startswith(b"GET /v1/endpoints HTTP/1.1\r\n")
        serves_until_told(process, where)
        call.close()
        other.close()


def ignores_hangup(pid: int) -> bool:
    found = re.search(r"SigIgn:\s*([0-9a-f]+)", Path(f"/proc/{pid}/status").read_text())
    return found is not None and bool(int(found[1], 16) & 1)


def test_hangup_signal_while_the_program_starts_neither_ends_it_nor_is_lost(tmp_path: Path) -> None:
    """A new configuration reaches all at once, also those that are just being restarted: they died of it."""
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    path, other = tmp_path / "config.json", open_listener()
    path.write_text(json.dumps(GOOD))
    command = run.replace(".venv/bin/python", sys.executable)
    log = tmp_path / "log"
    with (
        log.open("w") as sink,
        subprocess.Popen(
            ["/bin/sh", "-c", command], cwd=ROOT, stderr=sink, env={**os.environ, "GW_CONFIG": str(path)}
        ) as process,
    ):
        try:
            end = time.monotonic() + 20.0
            while not ignores_hangup(process.pid):
                assert time.monotonic() < end and process.poll() is None
            path.write_text(json.dumps({**GOOD, "discovery": address_of(other)}))
            while "serving" not in log.read_text() and time.monotonic() < end:
                process.send_signal(signal.SIGHUP)
                assert process.poll() is None, f"it died: {log.read_text()}"
            other.settimeout(10.0)
            call, _ = other.accept()
            call.close()
        finally:
            process.kill()
    other.close()


@pytest.mark.parametrize(
    "text,fault",
    [
        ("", "is not JSON"),
        (json.dumps(GOOD)[:-40], "is not JSON"),
        ("[]", "must hold an object"),
        (json.dumps({"listen": "127.0.0.1:0"}), "settings"),
    ],
)
def test_reload_of_a_faulty_file_changes_nothing_and_says_why(tmp_path: Path, text: str, fault: str) -> None:
    """A file that is being written when the signal comes is empty or cut short."""
    path, discovery = tmp_path / "config.json", open_listener()
    discovery.settimeout(5.0)
    path.write_text(json.dumps({**GOOD, "discovery": address_of(discovery)}))
    with program(path) as process:
        where = address_in(process.stderr).split(":")
        call, _ = discovery.accept()  # a call is out when the signals come
        path.write_text(text)
        assert process.stderr is not None
        process.send_signal(signal.SIGHUP)
        said = process.stderr.readline()
        process.send_signal(signal.SIGHUP)
        assert fault in said and "the old configuration stays" in said
        assert fault in process.stderr.readline()
        serves_until_told(process, where)
        call.close()
        discovery.close()


def test_log_reader_that_stops_reading_holds_nobody_up(tmp_path: Path) -> None:
    """After some 1,300 answers the pipe was full, and the program waited for its reader for good."""
    path = tmp_path / "config.json"
    path.write_text(json.dumps(GOOD))
    with program(path) as process:
        where = address_in(process.stderr).split(":")
        assert process.stderr is not None
        fcntl.fcntl(process.stderr, fcntl.F_SETPIPE_SZ, 4096)  # one page: full after some fifty lines
        for number in range(200):
            with socket.create_connection((where[0], int(where[1])), 5.0) as client:
                client.sendall(b"OPEN %d k d=1200,c=nobody\r\n" % number)
                assert client.recv(4096) == b"ERR\r\n", number
        said = os.read(process.stderr.fileno(), 65536)
        process.send_signal(signal.SIGTERM)
        assert process.wait(10.0) == 0
        said += process.stderr.read().encode()
        counts = [int(one) for one in re.findall(rb"^log: (\d+) lines left out$", said, re.M)]
        assert sum(counts) + said.count(b" garbled ") >= 200 and sum(counts) > 100, said


def test_json_log_holds_every_event_as_an_object_with_its_fields(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(GOOD))
    with program(path, SNOWWICK_LOG_FORMAT="json") as process:
        assert process.stderr is not None
        first = json.loads(process.stderr.readline())
        host, port = first["address"].split(":")
        with socket.create_connection((host, int(port)), 5.0) as client:
            client.sendall(b"OPEN {x} k d=1\r\n")
            assert client.recv(4096) == b"ERR\r\n"
        process.terminate()
        events = [first, *map(json.loads, process.stderr.read().splitlines())]
    assert {"serving", "connection-ended", "ending"} <= {one["event"] for one in events}
    ended = next(one for one in events if one["event"] == "connection-ended")
    assert (ended["id"], ended["reason"], ended["balancer"]) == ("{x}", "garbled", "balancer")


def test_example_configuration_is_valid(tmp_path: Path) -> None:
    with program(ROOT / "example" / "config.json", "check-config") as process:
        said, _ = process.communicate(timeout=20.0)
    assert process.returncode == 0 and "listen 127.0.0.1:8081" in said


def test_example_serves_as_the_readme_says() -> None:
    with python("example/toy_server.py", "--discovery", "127.0.0.1:0") as toy:
        with program(
            ROOT / "example" / "config.json", GW_LISTEN="127.0.0.1:0", GW_DISCOVERY=address_in(toy.stdout)
        ) as process:
            with python("example/toy_client.py", address_in(process.stderr)) as client:
                said, _ = client.communicate(timeout=60.0)
            process.terminate()
            assert process.wait(10.0) == 0
        toy.terminate()
    assert client.returncode == 0 and said.splitlines()[-2:] == ["hello", "BYE"]


def test_two_team_example_holds_the_smaller_one_to_its_contract() -> None:
    with python("example/toy_server.py", "--discovery", "127.0.0.1:0") as toy:
        with program(
            ROOT / "example" / "two-teams.json",
            GW_LISTEN="127.0.0.1:0",
            SNOWWICK_CONTRACTS="example/contracts.toml",
            GW_DISCOVERY=address_in(toy.stdout),
        ) as process:
            where, said = address_in(process.stderr), []
            for tenant in ("depot", "retail", "retail", "depot"):
                with python("example/toy_client.py", where, tenant) as client:
                    said.append(client.communicate(timeout=60.0)[0].splitlines())
            process.terminate()
            assert process.wait(10.0) == 0
        toy.terminate()
    assert all(lines[-1] == "BYE" for lines in said)
    assert said[2][0].startswith("BUSY ") and said[2][1].startswith("UP ")  # told when, and let in then
    assert said[3][0].startswith("UP ")


def imports(path: Path) -> set[str]:
    """The modules that a source imports, anywhere in it."""
    found = set[str]()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            found.update(one.name for one in node.names)
        elif isinstance(node, ast.ImportFrom):
            found.add("." * node.level + (node.module or ""))
    return found


def test_deploy_file_names_what_there_is() -> None:
    """The operators start and measure what this file names; what decides does no I/O and reads no clock."""
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    for path in [*deploy["policy"], *deploy["node"]]:
        assert (ROOT / path).exists(), path
    contracts.load(ROOT / "deploy" / "contracts.toml")
    for path in deploy["policy"]:
        assert imports(ROOT / path) <= DECISION_IMPORTS, path
    run = deploy["run"].partition("exec ")[2].split()  # before it stands what the shell itself does
    assert run[-1] == "serve"
    with python(*run[1:-1], "version") as process:
        assert "snowwick" in process.communicate(timeout=20.0)[0]
    with python(*deploy["sim"].split()[2:]) as process:
        assert process.communicate('{"moment":1.0,"input":[]}\n', timeout=20.0)[0] == '{"out":[]}\n'


def test_process_of_a_test_that_fails_is_ended(tmp_path: Path) -> None:
    """One that failed in the middle waited for a program that nobody ended."""
    path = tmp_path / "config.json"
    path.write_text(json.dumps(GOOD))
    with pytest.raises(AssertionError), program(path) as process:
        address_in(process.stderr)
        raise AssertionError
    assert process.returncode == -signal.SIGKILL
