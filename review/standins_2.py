"""Stand-ins for the cases of the second review: the platform's store, workers and consumers, on loopback addresses.

The store speaks the log form with keyed topics, workers and consumers HTTP/1.1, as PROTOCOL.md tells. Gateways are the
program of deploy/system.toml, each a process of its own with the settings of a small deployment.
"""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from urllib.parse import unquote

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BEAT_S = 1.2
STREAMING_GAP_MS = 600


async def read_head(reader):
    """Reads a head; returns its first line and the headers by lower-case name."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Reads a body with a length or in chunks."""
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                break
    return body


class Record:
    """The lines of record.txt, with the time since the start in seconds."""

    def __init__(self, folder):
        self.began = time.time()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def write(self, text):
        line = "%8.3f  %s" % (time.time() - self.began, text)
        self.file.write(line + "\n")
        self.file.flush()
        return line

    def say(self, text):
        print(self.write(text), flush=True)


class Store:
    """The platform's metadata store as a log with keyed topics. All that it acknowledges is kept."""

    def __init__(self):
        self.logs = {}
        self.changed = asyncio.Condition()
        self.writers = set()

    async def start(self):
        """Listens at a new address, beside earlier ones."""
        writers = self.writers

        async def serve(reader, writer):
            writers.add(writer)
            await self._serve(reader, writer)
            writers.discard(writer)

        self.server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()

    def log(self, topic, part):
        return self.logs.setdefault((topic, int(part)), [])

    async def write(self, topic, key, value):
        """Writes a record as the operator or a worker does; returns when it is acknowledged."""
        self.log(topic, 0).append((key, value))
        async with self.changed:
            self.changed.notify_all()

    def newest(self, topic, part):
        newest = {}
        for offset, (key, value) in enumerate(self.log(topic, part)):
            newest[key] = (offset, value)
        return newest

    async def _serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                path, _, query = line.split(" ")[1].partition("?")
                pairs = [pair.split("=", 1) for pair in query.split("&") if "=" in pair]
                status, answer = await self._answer(path, {k: unquote(v) for k, v in pairs}, body)
                writer.write(b"HTTP/1.1 %d Answer\r\nContent-Length: %d\r\n\r\n" % (status, len(answer)) + answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, path, query, body):
        log = self.log(query["topic"], query["part"])
        if path == "/api/log-append":
            if "at" in query and int(query["at"]) != len(log):
                return 412, json.dumps({"endOffset": len(log)}).encode()
            first = len(log)
            at = 0
            while at < len(body):
                size = struct.unpack(">I", body[at:at + 4])[0]
                content = body[at + 4:at + 4 + size]
                at += 4 + size
                key_size = content[0]
                log.append((content[1:1 + key_size].decode(), content[1 + key_size:] or None))
            async with self.changed:
                self.changed.notify_all()
            return 200, json.dumps({"offset": first, "endOffset": len(log)}).encode()
        if path == "/api/log-read":
            begin, wait_s = int(query["from"]), int(query.get("waitMs", 0)) / 1000

            async def grown():
                async with self.changed:
                    await self.changed.wait_for(lambda: len(log) > begin)

            if len(log) <= begin and wait_s > 0:
                try:
                    await asyncio.wait_for(grown(), wait_s)
                except asyncio.TimeoutError:
                    pass
            answer = struct.pack(">QQ", len(log), 0)
            for key, value in log[begin:]:
                content = bytes([len(key.encode())]) + key.encode() + (value or b"")
                answer += struct.pack(">I", len(content)) + content
            return 200, answer
        if path == "/api/log-newest":
            newest = self.newest(query["topic"], query["part"])
            keys = sorted(k for k, (_, value) in newest.items() if value is not None and k > query.get("after", ""))
            entries = [{"key": k, "value": base64.b64encode(newest[k][1]).decode(), "offset": newest[k][0]}
                       for k in keys[:500]]
            return 200, json.dumps({"entries": entries, "hasMore": len(keys) > 500, "endOffset": len(log)}).encode()
        return 404, b"{}"


class Registration:
    """A worker's entry in the store, written anew at each beat."""

    def __init__(self, store, name, service, address, zone, slots, born_ms):
        self.store, self.name, self.sequence, self.beats = store, name, 0, None
        self.entry = {"service": service, "address": address, "zone": zone, "version": "v1", "slots": slots,
                      "state": "ready", "coldMs": 0, "born": born_ms}

    async def write(self):
        self.sequence += 1
        entry = dict(self.entry, sequence=self.sequence)
        await self.store.write("keyed.servers", self.name, json.dumps(entry).encode())

    async def begin(self):
        await self.write()
        self.beats = asyncio.ensure_future(self._beat())

    async def _beat(self):
        while True:
            await asyncio.sleep(BEAT_S)
            await self.write()

    def end(self):
        self.beats.cancel()


class Worker:
    """A worker that answers each request as `answer(worker, run, writer)` does, with its id, stamp and all."""

    def __init__(self, name, answer):
        self.name, self.answer, self.runs, self.writers = name, answer, [], set()

    async def listen(self, port=0):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                await read_body(reader, headers)
                attempt = headers.get("toucanthread-attempt-id", "")
                if headers.get("toucanthread-expect-instance", self.name) != self.name:
                    writer.write(b"HTTP/1.1 421 Misdirected Request\r\nToucanthread-Attempt-Id: %s\r\n"
                                 b"Content-Length: 0\r\n\r\n" % attempt.encode())
                    continue
                run = {"at": time.time(), "id": attempt, "line": line, "headers": headers, "worker": self.name}
                self.runs.append(run)
                await self.answer(self, run, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def end(self):
        """Ends as a process does: the listener and all connections are closed."""
        self.server.close()
        for writer in list(self.writers):
            writer.close()


def head(run):
    """The first part of a success, which the framing and an empty line follow."""
    return (b"HTTP/1.1 200 OK\r\nToucanthread-Attempt-Id: %s\r\nToucanthread-Response-Stamp: 3e1b.%s\r\n"
            % (run["id"].encode(), run["id"].encode()))


async def whole_answer(worker, run, writer):
    body = b"done " + run["id"].encode()
    writer.write(head(run) + b"Content-Length: %d\r\n\r\n" % len(body) + body)
    await writer.drain()


def route(name, service, kind, timeout_ms, goal_ms, attempts, resumable=False):
    settings = {"name": name, "host": "h.example", "pathPrefix": "/%s/" % name, "kind": kind, "timeoutMs": timeout_ms,
                "goalMs": goal_ms, "priority": 1, "service": service, "maxAttempts": attempts, "public": False}
    if kind == "streaming":
        settings.update(sticky=True, resumable=resumable, gapTargetMs=STREAMING_GAP_MS)
    return settings


def configuration(version, routes, tenants):
    engine = {"slots": 64, "kvCapacity": 464458, "kvBytes": 18432, "linkMbps": 88000.0, "stride": 5,
              "models": [{"name": "m"}]}
    services = [{"name": "model", "healthPath": "/health", "maxConns": 370, "protocol": "h1", "tls": False,
                 "engine": engine},
                {"name": "register", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": False}]
    limits = {"headerBytes": 16384, "bodyBytes": 4194304, "headerMs": 3000, "idleMs": 15000}
    return json.dumps({"version": version, "routes": routes, "services": services, "limits": limits,
                       "tenants": tenants}, ensure_ascii=False).encode()


class Gateway:
    """The gateway of one entry machine, run by the command of the deploy file."""

    def __init__(self, store, name, zone, folder):
        self.name, self.process = name, None
        self.ip = "127.%d.%d.%d" % (random.randint(1, 250), random.randint(0, 250), random.randint(2, 250))
        base = self._free_base()
        self.front, self.ready = base, base + 1
        bounds = {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000,
                  "graceS": 8, "lossSlackMs": 200, "configMs": 2000, "downgradeMs": 250, "outerMs": 5000,
                  "strictRevoke": False, "revokeMs": 5000, "retryRatio": 0.2, "budgetWindowS": 10, "retrySlack": 56,
                  "recoveryS": 12, "passMs": 120, "reuseWindowS": 8.8, "settle_ms": 1500}
        platform = {"address": store.address, "form": "log", "writesPerS": 800, "readsPerS": 2000, "parts": 16,
                    "appendMs": 3.0, "partMbPerS": 20.0, "readMbPerS": 80.0, "recordBytes": 262144,
                    "callBytes": 2097152, "keep_s": 300, "partMb": 200, "ttlMinMs": 1000}
        settings = {"node": name, "role": "gateway", "machineClass": "front", "serves": ["front"], "ip": self.ip,
                    "zone": zone, "region": "r", "zones": {"zone-a": "r", "zone-b": "r"},
                    "listen": {"front": "%s:%d" % (self.ip, self.front), "ready": "%s:%d" % (self.ip, self.ready)},
                    "internalPorts": [base + 2, base + 11], "seeds": [], "bootstrap": True, "countsAsLoss": False,
                    "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 110, "maxFds": 4100, "linkMbps": 1000.0,
                               "diskMb": 0},
                    "dataDir": None, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
                    "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
                                  "platform"],
                    "faultTolerance": {"machines": 1, "zones": 1, "regions": 0}, "bounds": bounds,
                    "platform": platform}
        self.settings = os.path.join(folder, name + ".yaml")
        self.log = os.path.join(folder, name + ".log")
        with open(self.settings, "w") as file:
            json.dump(settings, file)

    def _free_base(self):
        for _ in range(100):
            base = random.randint(20000, 30000)
            try:
                for port in range(base, base + 4):
                    with socket.socket() as probe:
                        probe.bind((self.ip, port))
                return base
            except OSError:
                continue
        raise RuntimeError("no free ports")

    def start(self):
        environment = {"PATH": os.environ.get("PATH", ""), "TOUCANTHREAD_CONFIG": self.settings}
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(["target/release/toucan-gateway"], cwd=ROOT, env=environment, stdout=log,
                                            stderr=subprocess.STDOUT)

    async def wait_until_ready(self, limit_s=15):
        end = time.time() + limit_s
        while time.time() < end:
            try:
                reader, writer = await asyncio.open_connection(self.ip, self.ready)
                writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if b" 200" in line:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError(self.name + " is not ready")

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()


class Attempt:
    """One attempt of a consumer on a connection of its own, and what the consumer has seen of its answer."""

    count = 0

    def __init__(self, gateway, path, key, deadline_ms, body=b"x" * 600, tokens=None):
        Attempt.count += 1
        self.id = "%08x%08x" % (Attempt.count, random.getrandbits(32))
        self.gateway, self.path, self.key, self.deadline_ms, self.tokens = gateway, path, key, deadline_ms, tokens
        self.request_body = body
        self.status, self.headers, self.body, self.is_complete, self.error = None, {}, b"", False, None
        self.sent_at = self.ended_at = None

    async def run(self):
        self.sent_at = time.time()
        try:
            await asyncio.wait_for(self._exchange(), self.deadline_ms / 1000)
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
            self.error = type(error).__name__
        self.ended_at = time.time()
        return self

    async def _exchange(self):
        reader, writer = await asyncio.open_connection(self.gateway.ip, self.gateway.front)
        try:
            lines = ["POST %s HTTP/1.1" % self.path, "Host: h.example", "Toucanthread-Attempt-Id: " + self.id,
                     "Toucanthread-Deadline-Ms: %d" % self.deadline_ms, "Authorization: Bearer " + self.key,
                     "Content-Length: %d" % len(self.request_body)]
            if self.tokens is not None:
                prompt, _output = self.tokens
                lines += ["Toucanthread-Model: m", "Toucanthread-Token-Counts: %d,%d" % self.tokens,
                          "Toucanthread-Prompt-Prefix: %s:%d" % (self.id, prompt)]
            writer.write("\r\n".join(lines + ["", ""]).encode() + self.request_body)
            await writer.drain()
            line, self.headers = await read_head(reader)
            self.status = int(line.split(" ")[1])
            if "chunked" in self.headers.get("transfer-encoding", ""):
                while True:
                    size = int((await reader.readline()).split(b";")[0], 16)
                    chunk = await reader.readexactly(size)
                    await reader.readexactly(2)
                    if size == 0:
                        break
                    self.body += chunk
            else:
                self.body = await reader.readexactly(int(self.headers.get("content-length", 0)))
            self.is_complete = True
        finally:
            writer.close()

    def text(self):
        end = "complete" if self.is_complete else "not complete (%s)" % self.error
        took_ms = (self.ended_at - self.sent_at) * 1000
        return "attempt %s %s: status %s, %d bytes, %s, %d ms" % (
            self.id, self.path, self.status, len(self.body), end, took_ms)


def play(folder, case):
    """Runs a case; `case(record, scratch, processes)` returns whether the rule held. Ends all processes."""
    record = Record(folder)
    scratch = tempfile.mkdtemp()
    processes = []
    code = 2
    try:
        record.say("TROUBLE=%d" % TROUBLE)
        held = asyncio.run(asyncio.wait_for(case(record, scratch, processes), 110))
        record.say("the rule held" if held else "the rule was broken")
        code = 0 if held else 1
    except Exception as error:  # The case could not run.
        record.say("the case could not run: %r" % error)
    finally:
        for process in processes:
            process.kill()
        shutil.rmtree(scratch, ignore_errors=True)
    sys.stdout.flush()
    os._exit(code)
