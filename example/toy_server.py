"""Toy servers to try the balancer with: destinations that echo lines, and a discovery that lists them.

python example/toy_server.py [--discovery HOST:PORT] [--destinations N]
"""

from __future__ import annotations

import argparse
import json
import socketserver
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlparse


class Destination(socketserver.StreamRequestHandler):
    """Answers the opening line with UP, echoes other lines, and answers ``bye`` with BYE and closes."""

    def handle(self) -> None:
        destination_id = f"s-{self.connection.getsockname()[1]}"
        opening = self.rfile.readline(4096)
        if not opening.startswith(b"OPEN "):
            return
        print(f"{destination_id}: {opening.decode().strip()}", flush=True)
        self.wfile.write(f"UP {destination_id}\r\n".encode())
        while line := self.rfile.readline(4096):
            if line.strip() == b"bye":
                self.wfile.write(b"BYE\r\n")
                return
            self.wfile.write(line)


class DestinationServer(socketserver.ThreadingTCPServer):
    """Serves each connection in a thread of its own."""

    allow_reuse_address = daemon_threads = True


class Discovery(BaseHTTPRequestHandler):
    """Answers a first request with the whole list, and later ones with an empty change after a wait."""

    protocol_version = "HTTP/1.1"
    servers: tuple[dict[str, str], ...] = ()

    def do_GET(self) -> None:
        parameters = parse_qs(urlparse(self.path).query)
        is_first = parameters.get("after", ["0"])[0] == "0"
        if not is_first:
            time.sleep(min(60.0, float(parameters.get("wait_ms", ["0"])[0]) / 1000.0))
        body = json.dumps(
            {"version": 1, "full": is_first, "servers": self.servers if is_first else []}
        ).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_: object) -> None:
        pass


def main() -> None:
    parser = argparse.ArgumentParser(
        description="Destinations that echo lines, and a discovery that lists them."
    )
    parser.add_argument("--discovery", default="127.0.0.1:8500")
    parser.add_argument("--destinations", type=int, default=3)
    options = parser.parse_args()
    listed_servers = []
    for _ in range(options.destinations):
        server = DestinationServer(("127.0.0.1", 0), Destination)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        port = int(server.server_address[1])
        listed_servers.append({"id": f"s-{port}", "addr": f"127.0.0.1:{port}", "state": "in_service"})
    Discovery.servers = tuple(listed_servers)
    host, _, port = options.discovery.rpartition(":")
    discovery_server = ThreadingHTTPServer((host, int(port)), Discovery)
    addresses = ", ".join(entry["addr"] for entry in listed_servers)
    print(f"destinations {addresses}; discovery on {host}:{discovery_server.server_address[1]}", flush=True)
    discovery_server.serve_forever()


if __name__ == "__main__":
    main()
