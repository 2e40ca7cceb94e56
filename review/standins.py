"""Stand-ins for the platform's store, workers and consumers, and a runner of gateway processes.

Only the standard library is used. Everything listens on loopback addresses.
"""
import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = "target/release/toucan-gateway"
HOST = "app.example"
KEY = "key-of-tenant-1"
STARTED = time.monotonic()


def now():
    """Seconds since the script began."""
    return time.monotonic() - STARTED


class Record:
    """The file in which is written what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)

    def __call__(self, text):
        self.file.write("%9.3f  %s\n" % (now(), text))


class BadMessage(Exception):
    """A peer sent something that is no HTTP, or broke off."""


async def read_head(reader):
    """Returns the first line and the headers of a message; None at a regular end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise BadMessage("the head breaks off") from error
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, until_close=False):
    """Returns the whole body of a message; raises if it breaks off."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    if until_close:
        return await reader.read()
    return b""


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


async def serve(ip, handler):
    """Serves requests; `handler` takes (method, target, headers, body, writer) and writes the answer.

    It returns false if the connection is to be closed."""
    open_connections = set()

    async def connection(reader, writer):
        open_connections.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(" ")
                body = await read_body(reader, head[1])
                if await handler(method, target, head[1], body, writer) is False:
                    break
                await writer.drain()
        except (BadMessage, asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            open_connections.discard(writer)
            writer.close()

    server = await asyncio.start_server(connection, ip, 0, limit=1 << 20, backlog=1024)
    return server.sockets[0].getsockname()


def answer(status, body=b"", headers=()):
    lines = ["HTTP/1.1 %d X" % status, "Content-Length: %d" % len(body)]
    lines += ["%s: %s" % pair for pair in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's store, as far as gateways call it."""

    def __init__(self, record):
        self.record = record
        self.partitions = {}
        self.changed = asyncio.Event()
        self.address = None
        # Decides what happens to an append: "answer", "late" (done later, not answered).
        self.append_fault = lambda topic, part, records, at: "answer"
        self.late_s = 3.0
        self.writes = 0
        self.lost_writes = 0

    async def start(self, ip="127.0.0.1"):
        self.address = await serve(ip, self.handle)

    def write(self, topic, key, value):
        self.partitions.setdefault((topic, 0), []).append((key, json.dumps(value).encode() if value is not None else b""))
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, method, target, headers, body, writer):
        path, _, query = target.partition("?")
        query = dict(pair.split("=", 1) for pair in query.split("&") if pair)
        partition = (query["topic"], int(query["part"]))
        if path == "/api/log-append":
            return await self.append(partition, query, body, writer)
        if partition not in self.partitions:
            writer.write(answer(404))
        elif path == "/api/log-newest":
            writer.write(self.newest(partition))
        elif path == "/api/log-read":
            writer.write(await self.read(partition, int(query["from"]), int(query.get("waitMs", 0))))
        else:
            writer.write(answer(404))
        return True

    def newest(self, partition):
        newest = {}
        records = self.partitions[partition]
        for offset, (key, value) in enumerate(records):
            newest[key] = (offset, value)
        entries = [{"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                   for key, (offset, value) in sorted(newest.items()) if value]
        page = {"entries": entries, "hasMore": False, "endOffset": len(records)}
        return answer(200, json.dumps(page).encode(), [("Content-Type", "application/json")])

    async def read(self, partition, start, wait_ms):
        deadline = time.monotonic() + wait_ms / 1000
        while len(self.partitions[partition]) <= start and time.monotonic() < deadline:
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), deadline - time.monotonic())
            except asyncio.TimeoutError:
                break
        records = self.partitions[partition]
        body = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            content = bytes([len(key.encode())]) + key.encode() + value
            body += struct.pack(">I", len(content)) + content
        return answer(200, body)

    async def append(self, partition, query, body, writer):
        records = []
        rest = body
        while rest:
            length = struct.unpack(">I", rest[:4])[0]
            content, rest = rest[4:4 + length], rest[4 + length:]
            key_length = content[0]
            records.append((content[1:1 + key_length].decode(), content[1 + key_length:]))
        at = int(query["at"]) if "at" in query else None
        await asyncio.sleep(0.003)
        self.writes += 1
        fault = self.append_fault(partition[0], partition[1], records, at)
        if fault == "answer":
            status, end = self.apply(partition, records, at)
            page = {"offset": end - len(records), "endOffset": end}
            writer.write(answer(status, json.dumps(page).encode()))
            return True
        self.lost_writes += 1
        asyncio.get_running_loop().call_later(self.late_s, self.apply_late, partition, records, at)
        # A connection on which a response is lost returns nothing further.
        await asyncio.sleep(60)
        return False

    def apply_late(self, partition, records, at):
        status, _end = self.apply(partition, records, at)
        names = ", ".join("%s%s" % (key.replace("\x1f", "/"), "" if value else " (removed)") for key, value in records)
        self.record("store: a write whose answer was lost is done now (%d): %s: %s" % (status, partition[0], names))

    def apply(self, partition, records, at):
        log = self.partitions.setdefault(partition, [])
        if at is not None and at != len(log):
            return 412, len(log)
        log.extend(records)
        self.wake()
        return 200, len(log)


class Gateway:
    """One gateway process of the deploy file's command."""

    def __init__(self, name, zone, ip, store, folder, limits, bounds=None, contracts=None):
        self.name, self.zone, self.ip, self.folder = name, zone, ip, folder
        ports = [free_port(ip), free_port(ip)]
        internal = free_port(ip)
        self.front, self.ready = ports
        zones = "\n".join("  z-%d: region-a" % n for n in range(4))
        settings = {
            "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000,
            "graceS": 8, "lossSlackMs": 200, "configMs": 2000, "downgradeMs": 250, "outerMs": 5000,
            "strictRevoke": "false", "revokeMs": 5000, "retryRatio": 0.2, "budgetWindowS": 10, "retrySlack": 56,
            "recoveryS": 12, "passMs": 120, "reuseWindowS": 8.8, "settle_ms": 1500,
        }
        settings.update(bounds or {})
        contracts = contracts or ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
                                  "tenants", "platform"]
        self.path = os.path.join(folder, name + ".yaml")
        with open(self.path, "w") as file:
            file.write("node: %s\nrole: gateway\nmachineClass: front\nserves: [front]\nip: %s\n" % (name, ip))
            file.write("zone: %s\nregion: region-a\nzones:\n%s\n" % (zone, zones))
            file.write("listen:\n  front: %s:%d\n  ready: %s:%d\n" % (ip, self.front, ip, self.ready))
            file.write("internalPorts: [%d, %d]\nbootstrap: true\ncountsAsLoss: false\n" % (internal, internal + 15))
            file.write("limits:\n" + "".join("  %s: %s\n" % pair for pair in limits.items()))
            file.write("dataDir: null\ndiscovery: platform\nentry: vip\nheartbeatMs: 1200\n")
            file.write("contracts: [%s]\n" % ", ".join(contracts))
            file.write("bounds:\n" + "".join("  %s: %s\n" % pair for pair in settings.items()))
            file.write("platform:\n  address: %s:%d\n  form: log\n  writesPerS: 800\n  readsPerS: 2000\n" % store.address)
            file.write("  parts: 16\n  appendMs: 3.0\n  partMbPerS: 20.0\n  readMbPerS: 80.0\n  recordBytes: 262144\n")
            file.write("  callBytes: 2097152\n  keep_s: 300\n  partMb: 200\n  ttlMinMs: 1000\n")
        self.process = None
        self.starts = 0

    def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["TOUCANTHREAD_CONFIG"] = self.path
        self.starts += 1
        log = open(os.path.join(self.folder, "%s-%d.log" % (self.name, self.starts)), "w")
        self.process = subprocess.Popen([PROGRAM], cwd=ROOT, env=environment, stdout=log, stderr=log,
                                        stdin=subprocess.DEVNULL)
        log.close()

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.is_running():
            self.process.send_signal(number)

    def memory_mb(self):
        try:
            with open("/proc/%d/status" % self.process.pid) as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    async def is_ready(self):
        try:
            status, _, _ = await call(self.ip, self.ready, "GET", "/api/readiness", {}, b"", 1.0)
            return status == 200
        except (OSError, BadMessage, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_until_ready(self, limit_s=15.0):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False


async def call(ip, port, method, path, headers, body, limit_s):
    """Sends one request on a new connection; returns status, headers and body."""

    async def exchange():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            return await request(reader, writer, method, path, headers, body)
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), limit_s)


async def request(reader, writer, method, path, headers, body):
    """Sends one request on an open connection; returns status, headers and body."""
    lines = ["%s %s HTTP/1.1" % (method, path), "Host: " + headers.get("Host", HOST)]
    lines += ["%s: %s" % pair for pair in headers.items() if pair[0] != "Host"]
    if body or method == "POST":
        lines.append("Content-Length: %d" % len(body))
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
    writer.write(body)
    await writer.drain()
    head = await read_head(reader)
    if head is None:
        raise BadMessage("closed without an answer")
    answer_body = await read_body(reader, head[1], until_close=True)
    return int(head[0].split(" ")[1]), head[1], answer_body


def consumer_headers(attempt, deadline_ms):
    return {
        "Toucanthread-Attempt-Id": attempt,
        "Toucanthread-Deadline-Ms": str(deadline_ms),
        "Authorization": "Bearer " + KEY,
    }


def new_id():
    return "%016x" % random.getrandbits(64)


def configuration(version, routes, services):
    return {
        "version": version, "routes": routes, "services": services,
        "tenants": [{"name": "tenant-1", "apiKeys": [KEY], "priority": 0}],
        "limits": {"headerBytes": 16384, "bodyBytes": 4194304, "headerMs": 3000, "idleMs": 15000},
    }


def server_entry(service, address, zone, slots, born):
    return {"service": service, "address": "%s:%d" % address, "zone": zone, "version": "v1", "slots": slots,
            "state": "ready", "coldMs": 0, "sequence": 1, "born": born}


def end_all(gateways):
    for gateway in gateways:
        if gateway.is_running():
            gateway.process.kill()
    for gateway in gateways:
        if gateway.process is not None:
            gateway.process.wait()


def temporary_folder():
    return tempfile.TemporaryDirectory(prefix="review-")


def main(play, limit_s=100):
    """Plays a case in a temporary folder and exits with its result, or with 2 if it could not run."""

    async def bounded():
        with temporary_folder() as folder:
            return await asyncio.wait_for(play(folder), limit_s)

    try:
        code = asyncio.run(bounded())
    except Exception:  # Nothing that goes wrong in the script itself may look like a broken rule.
        traceback.print_exc()
        code = 2
    sys.stdout.flush()
    os._exit(code)
