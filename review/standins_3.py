"""Stand-ins of the platform for the cases of the third review: store, workers, consumers, and gateways as processes.

They use the standard library alone. Every address is a loopback address: each machine of a case has an address of its
own in 127.0.0.0/8, so that all of them have the same ports.
"""
import asyncio
import base64
import json
import os
import random
import socket
import struct
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "release", "toucan-gateway")
HEARTBEAT_S = 1.2
STRIDE = 5


def now():
    return time.monotonic()


class Record:
    """What was sent, answered and run, written to record.txt."""

    def __init__(self, path):
        self.began = now()
        self.file = open(path, "w", encoding="utf-8")

    def line(self, *words):
        self.file.write("%8.3f s  %s\n" % (now() - self.began, " ".join(str(word) for word in words)))
        self.file.flush()


async def read_head(reader):
    """Reads the first line and the headers of a message; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError, asyncio.CancelledError):
        return None
    lines = raw[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Reads a body with a length or in chunks; None if there is neither."""
    if headers.get("transfer-encoding", "").lower().endswith("chunked"):
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip() or b"0", 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return None


class Store:
    """The platform's store: keyed logs with the calls that gateways make."""

    def __init__(self, address, record):
        self.address = address
        self.record = record
        self.logs = {}
        self.changed = asyncio.Condition()
        self.calls = []
        self.heard = {}

    async def start(self):
        host, port = self.address
        self.server = await asyncio.start_server(self.serve, host, port, limit=1 << 22)

    def log(self, topic, part):
        return self.logs.setdefault((topic, part), [])

    async def append(self, topic, part, records):
        async with self.changed:
            log = self.log(topic, part)
            log.extend(records)
            self.changed.notify_all()
            return len(log)

    async def put(self, topic, key, value):
        """Writes a record as the operator or a worker does."""
        raw = b"" if value is None else json.dumps(value).encode()
        return await self.append(topic, 0, [(key, raw)])

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1]) or b""
                status, kind, answer = await self.answer(head[0], body)
                text = "HTTP/1.1 %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n" % (status, kind, len(answer))
                writer.write(text.encode() + answer)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, line, body):
        method, target, _ = line.split(" ")
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        topic, part = fields.get("topic", ""), int(fields.get("part", "0"))
        if path == "/api/log-append":
            return await self.answer_append(topic, part, fields, body)
        if path == "/api/log-read":
            return await self.answer_read(topic, part, fields)
        if path == "/api/log-newest":
            return self.answer_newest(topic, part, fields)
        return "404 Not Found", "application/json", b"{}"

    async def answer_append(self, topic, part, fields, body):
        await asyncio.sleep(0.003)
        if topic in ("keyed.op", "keyed.servers"):
            return "403 Forbidden", "application/json", b"{}"
        records = []
        while body:
            size = struct.unpack(">I", body[:4])[0]
            content, body = body[4 : 4 + size], body[4 + size :]
            key_size = content[0]
            records.append((content[1 : 1 + key_size].decode(), content[1 + key_size :]))
        first = len(self.log(topic, part))
        if "at" in fields and int(fields["at"]) != first:
            answer = json.dumps({"endOffset": first}).encode()
            return "412 Precondition Failed", "application/json", answer
        end = await self.append(topic, part, records)
        return "200 OK", "application/json", json.dumps({"offset": end - len(records), "endOffset": end}).encode()

    async def answer_read(self, topic, part, fields):
        start, wait_s = int(fields["from"]), int(fields.get("waitMs", "0")) / 1000
        log = self.log(topic, part)
        if len(log) <= start and wait_s > 0:
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait_for(lambda: len(log) > start), wait_s)
                except asyncio.TimeoutError:
                    pass
        answer = struct.pack(">QQ", len(log), 0)
        for key, value in log[start:]:
            content = bytes([len(key.encode())]) + key.encode() + value
            answer += struct.pack(">I", len(content)) + content
            if len(answer) > 1 << 20:
                break
        return "200 OK", "application/octet-stream", answer

    def answer_newest(self, topic, part, fields):
        newest = {}
        log = self.log(topic, part)
        for offset, (key, value) in enumerate(log):
            newest[key] = (value, offset)
        keys = sorted(key for key, (value, _) in newest.items() if value and key > fields.get("after", ""))
        entries = [
            {"key": key, "value": base64.b64encode(newest[key][0]).decode(), "offset": newest[key][1]}
            for key in keys[:500]
        ]
        answer = {"entries": entries, "hasMore": len(keys) > 500, "endOffset": len(log)}
        return "200 OK", "application/json", json.dumps(answer).encode()


class Worker:
    """A worker: it registers itself, and answers with streams or whole bodies. The body of a request says how many
    events the stream has."""

    def __init__(self, store, record, name, service, zone, address, slots=64, event_s=0.02):
        self.store, self.record = store, record
        self.name, self.service, self.zone, self.address = name, service, zone, address
        self.slots, self.event_s = slots, event_s
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.sequence = 0
        self.runs = []
        self.arrivals = []
        self.listens_at = address
        self.connections = set()

    async def start(self, listens_at=None):
        """Listens, at another address than the registered one if a link lies between, and registers."""
        self.listens_at = listens_at or self.listens_at
        host, port = self.listens_at
        self.server = await asyncio.start_server(self.serve, host, port, limit=1 << 22)
        await self.beat()
        self.beats = asyncio.ensure_future(self.keep_beating())

    def crash(self):
        """Ends as a process that is killed: the kernel closes its listener and its connections."""
        self.beats.cancel()
        self.server.close()
        for writer in list(self.connections):
            writer.close()
        self.connections.clear()

    async def start_again(self):
        """Starts under the same id. It knows nothing of before."""
        self.born = int(time.time() * 1000)
        self.sequence = 0
        await self.start()

    def entry(self):
        return {
            "service": self.service, "address": "%s:%d" % self.address, "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": self.state, "coldMs": 0, "sequence": self.sequence, "born": self.born,
        }

    async def beat(self, done_after_s=0):
        """Writes the registration. The store may carry the write out seconds later, without an answer."""
        self.sequence += 1
        entry = self.entry()
        if done_after_s:
            asyncio.ensure_future(self.write_late(entry, done_after_s))
        else:
            await self.store.put("keyed.servers", self.name, entry)

    async def write_late(self, entry, done_after_s):
        await asyncio.sleep(done_after_s)
        self.record.line("the store carries out the registration of", self.name, "with sequence %d" % entry["sequence"])
        await self.store.put("keyed.servers", self.name, entry)

    async def keep_beating(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.beat()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while writer in self.connections:
                head = await read_head(reader)
                if head is None:
                    break
                line, headers = head
                body = await read_body(reader, headers) or b""
                if headers.get("toucanthread-expect-instance", self.name) != self.name:
                    writer.write(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
                    continue
                await self.run(line, headers, body, writer)
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def run(self, line, headers, body, writer):
        call = headers.get("toucanthread-attempt-id", "")
        tenant = headers.get("toucanthread-tenant", "")
        self.runs.append((call, tenant))
        self.arrivals.append((call, now()))
        wanted = json.loads(body or b"{}")
        events = wanted.get("events", 0)
        self.record.line("worker", self.name, "runs", call, "tenant", tenant)
        common = "Toucanthread-Attempt-Id: %s\r\nToucanthread-Response-Stamp: s.%s\r\n" % (call, call)
        if not events:
            await asyncio.sleep(wanted.get("work_s", 0.02))
            answer = ("answer to " + call).encode()
            writer.write(("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n" % (common, len(answer))).encode() + answer)
            await writer.drain()
            return
        has_chunks = wanted.get("framing") != "close"
        framing = "Transfer-Encoding: chunked" if has_chunks else "Connection: close"
        kind = "Content-Type: text/event-stream"
        writer.write(("HTTP/1.1 200 OK\r\n%s%s\r\n%s\r\n\r\n" % (common, kind, framing)).encode())
        for number in range(1, events + 1):
            await asyncio.sleep(wanted.get("event_s", self.event_s))
            if writer not in self.connections:
                self.record.line("worker", self.name, "has crashed within", call, "after event %d of %d" % (number - 1, events))
                return
            event = ("id: %d\ndata: part %d of %s\n\n" % (number, number, call)).encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event) if has_chunks else event)
            await writer.drain()
        self.record.line("worker", self.name, "has written all %d events of" % events, call)
        if has_chunks:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        else:
            self.connections.discard(writer)
            writer.close()


class Link:
    """The way from the gateways to a worker. While it is cut nothing passes. What the worker's side sends meanwhile, bytes or
    the end of a connection, is sent once more as TCP does it: 0.2 s after it was sent first, then after twice the time."""

    FIRST_RETRANSMISSION_S = 0.2

    def __init__(self, address, behind):
        self.address, self.behind = address, behind
        self.cut_at = None
        self.whole = asyncio.Event()
        self.whole.set()

    async def start(self):
        host, port = self.address
        self.server = await asyncio.start_server(self.serve, host, port)

    def cut(self):
        self.cut_at = now()
        self.whole.clear()

    def heal(self):
        self.whole.set()

    async def passable(self, sent_at):
        """Waits until what was sent at a time gets through."""
        if self.whole.is_set():
            return
        await self.whole.wait()
        pause = self.FIRST_RETRANSMISSION_S
        due = sent_at + pause
        while due < now():
            pause *= 2
            due += pause
        await asyncio.sleep(due - now())

    async def serve(self, reader, writer):
        await self.whole.wait()
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.behind)
        except OSError:
            writer.close()
            return
        await asyncio.gather(self.carry(reader, far_writer), self.carry(far_reader, writer))

    async def carry(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                await self.passable(now())
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()


class Gateway:
    """A gateway, started with the command of the deploy file."""

    def __init__(self, folder, name, zone, zones, host, ports, store):
        self.name, self.zone, self.host, self.ports = name, zone, host, ports
        self.front = (host, ports["front"])
        self.settings = os.path.join(folder, name + ".yaml")
        self.output = os.path.join(folder, name + ".log")
        settings = {
            "node": name, "role": "gateway", "machineClass": "front", "serves": ["front"], "ip": host,
            "zone": zone, "region": "east", "zones": {z: "east" for z in zones},
            "listen": {"front": "%s:%d" % self.front, "ready": "%s:%d" % (host, ports["ready"])},
            "internalPorts": [ports["internal"], ports["internal"] + 15], "bootstrap": True,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 110, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"],
            "bounds": {
                "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000,
                "graceS": 8, "lossSlackMs": 200, "configMs": 2000, "downgradeMs": 250, "outerMs": 5000,
                "retryRatio": 0.2, "budgetWindowS": 10, "retrySlack": 56, "recoveryS": 12, "passMs": 120,
                "reuseWindowS": 8.8, "settle_ms": 1500,
            },
            "platform": {
                "address": "%s:%d" % store, "form": "log", "writesPerS": 800, "readsPerS": 2000, "parts": 16,
                "appendMs": 3.0, "partMbPerS": 20.0, "readMbPerS": 80.0, "recordBytes": 262144, "callBytes": 2097152,
                "keep_s": 300, "partMb": 200, "ttlMinMs": 1000,
            },
        }
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.process = None

    async def start(self):
        environment = {"PATH": os.environ.get("PATH", ""), "TOUCANTHREAD_CONFIG": self.settings}
        with open(self.output, "ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                PROGRAM, cwd=ROOT, env=environment, stdout=output, stderr=output
            )

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.host, self.ports["ready"])
            writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            head = await read_head(reader)
            writer.close()
            return head is not None and " 200" in head[0]
        except OSError:
            return False

    async def wait_until_ready(self, limit_s=15):
        end = now() + limit_s
        while now() < end:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(self.name + " is not ready")

    def logged(self):
        with open(self.output, encoding="utf-8", errors="replace") as file:
            return file.read()

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)


class Answer:
    """What a consumer got: the status, 0 for a closed connection, and whether the body is whole."""

    def __init__(self, status=0, headers=None, body=b"", whole=False):
        self.status, self.headers, self.body, self.whole = status, headers or {}, body, whole


def new_id():
    return "%016x" % random.getrandbits(64)


async def send(front, record, *, path, key, host="desk.example", method="POST", body=None, counts=None, prefix=None,
               limit_s=8.0, call=None, extra=()):
    """One attempt of a consumer, on a new connection."""
    call = call or new_id()
    raw = b"" if body is None else json.dumps(body).encode()
    lines = ["%s %s HTTP/1.1" % (method, path), "Host: " + host, "Toucanthread-Attempt-Id: " + call,
             "Toucanthread-Deadline-Ms: %d" % int(limit_s * 1000), "Authorization: Bearer " + key]
    if counts:
        lines += ["Toucanthread-Model: m", "Toucanthread-Token-Counts: %d,%d" % counts]
        lines += ["Toucanthread-Prompt-Prefix: " + (prefix or "%s:%d" % (call[:8], counts[0]))]
    lines += list(extra)
    if raw or method == "POST":
        lines.append("Content-Length: %d" % len(raw))
    answer = Answer()
    record.line("consumer sends", call, "to %s" % front[0], path, "tokens %s" % (counts,))
    try:
        answer = await asyncio.wait_for(exchange(front, ("\r\n".join(lines) + "\r\n\r\n").encode() + raw), limit_s)
    except (asyncio.TimeoutError, ConnectionError, OSError, asyncio.IncompleteReadError) as error:
        record.line("consumer lost", call, type(error).__name__)
    record.line("consumer gets", call, answer.status, "whole" if answer.whole else "not whole", "%d bytes" % len(answer.body))
    answer.call = call
    return answer


async def exchange(front, request):
    reader, writer = await asyncio.open_connection(*front, limit=1 << 22)
    try:
        writer.write(request)
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            return Answer()
        status = int(head[0].split(" ")[1])
        body = await read_body(reader, head[1])
        return Answer(status, head[1], body or b"", True)
    finally:
        writer.close()


def free_ports():
    """Returns ports that are free now, below those that the kernel gives out."""
    while True:
        base = random.randrange(12000, 32000, 50)
        probes = [socket.socket() for _ in range(40)]
        try:
            for port, probe in enumerate(probes, base):
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                probe.bind(("127.0.0.1", port))
        except OSError:
            continue
        finally:
            for probe in probes:
                probe.close()
        return {"front": base, "ready": base + 1, "internal": base + 2, "store": base + 30, "worker": base + 31}
