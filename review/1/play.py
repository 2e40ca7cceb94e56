"""A gateway that is cut off from the workers reaches them by way of another one, which is stopped as planned.

The workers' answers have no length and end with their connection.
"""
import asyncio
import os
import signal
import socket
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins import *  # noqa: E402,F403

FOLDER = os.path.dirname(os.path.abspath(__file__))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# For a closer look: the cut without the planned stop.
STOP = TROUBLE and os.environ.get("TROUBLE") != "cut"
PIECES, PIECE_S = 60, 0.1
DEADLINE_MS = 10_000


class Worker:
    """A sound worker, which may be behind a cut: then connections to it hang."""

    def __init__(self, name, record):
        self.name, self.record = name, record
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(0)
        self.listener.setblocking(False)
        self.address = self.listener.getsockname()
        self.held = []
        self.reachable = True
        self.sent_whole, self.broken_off = {}, {}
        self.tasks = set()

    def cut(self):
        """New connections hang: the queue of the listener is kept full."""
        self.reachable = False
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.address)
            self.held.append(filler)

    def heal(self):
        for filler in self.held:
            filler.close()
        self.held = []
        self.reachable = True

    async def accept(self):
        loop = asyncio.get_running_loop()
        while True:
            if not self.reachable:
                await asyncio.sleep(0.005)
                continue
            try:
                connection, _ = self.listener.accept()
            except BlockingIOError:
                await asyncio.sleep(0.002)
                continue
            connection.setblocking(False)
            reader, writer = await asyncio.open_connection(sock=connection)
            task = loop.create_task(self.serve(reader, writer))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def serve(self, reader, writer):
        attempt = "?"
        try:
            head = await read_head(reader)
            if head is None:
                return
            headers = head[1]
            await read_body(reader, headers)
            attempt = headers.get("toucanthread-attempt-id", "")
            is_stream = "/llm/" in head[0]
            self.record("worker %s: runs %s" % (self.name, attempt))
            lines = ["HTTP/1.1 200 OK", "Connection: close", "Toucanthread-Attempt-Id: " + attempt,
                     "Toucanthread-Response-Stamp: s." + attempt]
            lines.append("Content-Type: " + ("text/event-stream" if is_stream else "text/plain"))
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            sent = b""
            for number in range(1, PIECES + 1):
                piece = b"id: %d\ndata: piece\n\n" % number if is_stream else b"piece %d\n" % number
                writer.write(piece)
                await writer.drain()
                sent += piece
                await asyncio.sleep(PIECE_S)
                if reader.at_eof():
                    raise ConnectionError("the caller has left")
            self.sent_whole[attempt] = sent
            self.record("worker %s: has sent all of its answer to %s, and closes" % (self.name, attempt))
        except (ConnectionError, OSError, asyncio.IncompleteReadError) as error:
            self.broken_off[attempt] = sent if attempt != "?" else b""
            self.record("worker %s: the connection of %s was closed under the answer (%s)" % (self.name, attempt, error))
        finally:
            writer.close()


async def consumer(gateway, path, record):
    """Makes one call; returns the attempt, the status, the headers, the body, and whether it looks complete."""
    attempt = new_id()
    headers = consumer_headers(attempt, DEADLINE_MS)
    if path == "/llm/":
        headers["Toucanthread-Model"] = "m"
        headers["Toucanthread-Token-Counts"] = "100,%d" % (PIECES * 5)
    record("consumer: sends %s to %s, %s" % (attempt, gateway.name, path))
    try:
        status, answer_headers, body = await call(gateway.ip, gateway.front, "POST", path, headers, b"hi", DEADLINE_MS / 1000 + 1)
    except (OSError, BadMessage, asyncio.IncompleteReadError, ValueError, asyncio.TimeoutError) as error:
        record("consumer: %s: broken off (%s)" % (attempt, error.__class__.__name__))
        return attempt, 0, {}, b"", False
    framing = "length %s" % answer_headers["content-length"] if "content-length" in answer_headers else "chunks, ended regularly"
    record("consumer: %s: %d, stamp %s, %d bytes, %s" % (
        attempt, status, answer_headers.get("toucanthread-response-stamp"), len(body), framing))
    return attempt, status, answer_headers, body, True


async def play(folder):
    record = Record(FOLDER)
    store = Store(record)
    await store.start()
    workers = [Worker("i-%d" % number, record) for number in range(2)]
    accepting = [asyncio.create_task(worker.accept()) for worker in workers]
    for worker in workers:
        store.write("keyed.servers", worker.name, server_entry("app", worker.address, "z-0", 64, 1_700_000_000_000))
    routes = [
        {"name": "llm", "host": HOST, "pathPrefix": "/llm/", "service": "app", "kind": "streaming", "resumable": False,
         "timeoutMs": DEADLINE_MS, "goalMs": 1500, "gapTargetMs": 1000, "maxAttempts": 1, "priority": 0, "sticky": True},
        {"name": "app", "host": HOST, "pathPrefix": "/app/", "service": "app", "kind": "idempotent",
         "timeoutMs": DEADLINE_MS, "goalMs": DEADLINE_MS, "maxAttempts": 1, "priority": 0},
    ]
    service = {"name": "app", "maxConns": 370, "healthPath": "/health"}
    store.write("keyed.op", "config", configuration(1, routes, [service]))
    limits = {"cpuShare": 0.25, "cores": 1, "memoryMb": 256, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0}
    gateways = [Gateway("front-%d" % n, "z-0", "127.0.0.%d" % (2 + n), store, folder, limits) for n in range(2)]
    first, helper = gateways
    for gateway in gateways:
        gateway.start()
    try:
        for gateway in gateways:
            if not await gateway.wait_until_ready():
                print("a gateway does not become ready")
                return 2
        await asyncio.sleep(1.0)
        # The cut concerns front-0 alone. While front-0 connects, the workers' listeners hang; front-1 connects
        # only when front-0 has given up and has asked it, which is when they answer again.
        if TROUBLE:
            record("network: front-0 is cut off from the workers")
            for worker in workers:
                worker.cut()
            await consumer(first, "/app/", record)
            for worker in workers:
                worker.cut()
        calls = [asyncio.create_task(consumer(first, path, record)) for path in ("/app/", "/llm/")]
        await asyncio.sleep(0.2)
        for worker in workers:
            worker.heal()
        await asyncio.sleep(0.4)
        if TROUBLE:
            # front-1 is connected; front-0 stays cut off.
            for worker in workers:
                worker.cut()
        if STOP:
            record("platform: SIGTERM to front-1")
            helper.signal(signal.SIGTERM)
        results = await asyncio.gather(*calls)
        for worker in workers:
            worker.heal()
        await asyncio.sleep(0.5)
        sent_whole, broken_off = {}, {}
        for worker in workers:
            sent_whole.update(worker.sent_whole)
            broken_off.update(worker.broken_off)
        if len(sent_whole) + len(broken_off) < len(calls):
            print("the calls did not reach the workers by way of the other gateway")
            return 2
        wrong = 0
        for attempt, status, headers, body, is_complete in results:
            if status == 200 and is_complete and "toucanthread-response-stamp" in headers and body != sent_whole.get(attempt):
                wrong += 1
                record("broken: %s got a success that looks complete, with %d bytes of an answer of %d pieces that had not been sent to its end" % (
                    attempt, len(body), PIECES))
        text = "%d of %d successes look complete and are not the worker's whole body" % (wrong, len(results))
        record(text)
        print(text)
        return 1 if wrong else 0
    finally:
        for task in accepting:
            task.cancel()
        end_all(gateways)


if __name__ == "__main__":
    main(play)
