"""The platform's store is silent for a moment; soon after, the operator moves a route to another service."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins import *  # noqa: E402,F403

FOLDER = os.path.dirname(os.path.abspath(__file__))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GATEWAYS, EPISODES = 8, 10
SILENT_S, CHANGE_AFTER_S = 0.2, 0.2
CONTACT_S, CONFIG_S, MARGIN_S = 3.0, 2.0, 0.05


class SilentStore(Store):
    """A store that, while it is silent, answers nothing: neither new calls nor those that wait."""

    def __init__(self, record):
        super().__init__(record)
        self.silent = False
        self.silences = 0

    async def handle(self, method, target, headers, body, writer):
        if self.silent:
            await asyncio.sleep(60)
            return False
        before = self.silences
        collected = []

        class Collector:
            def write(self, data):
                collected.append(data)

        done = await super().handle(method, target, headers, body, Collector())
        if self.silences != before:
            # The call waited when the silence began. A connection on which a response is lost returns nothing further.
            await asyncio.sleep(60)
            return False
        writer.write(b"".join(collected))
        return done


class Worker:
    def __init__(self, service, record):
        self.service, self.record, self.runs = service, record, {}

    async def handle(self, method, target, headers, body, writer):
        attempt = headers.get("toucanthread-attempt-id", "")
        self.runs[attempt] = self.service
        writer.write(answer(200, b"ok", [("Toucanthread-Attempt-Id", attempt), ("Toucanthread-Response-Stamp", "s." + attempt)]))
        return True


async def play(folder):
    record = Record(FOLDER)
    store = SilentStore(record)
    await store.start()
    workers = {}
    for service in ("old", "new"):
        workers[service] = Worker(service, record)
        address = await serve("127.0.0.1", workers[service].handle)
        store.write("keyed.servers", "i-" + service, server_entry(service, address, "z-0", 64, 1_700_000_000_000))
    services = [{"name": name, "maxConns": 370, "healthPath": "/health"} for name in ("old", "new")]

    def config(version, service):
        route = {"name": "r", "host": HOST, "pathPrefix": "/app/", "service": service, "kind": "idempotent",
                 "timeoutMs": 1500, "goalMs": 300, "maxAttempts": 1, "priority": 0}
        return configuration(version, [route], services)

    version, current, other = 1, "old", "new"
    store.write("keyed.op", "config", config(version, current))
    limits = {"cpuShare": 0.25, "cores": 1, "memoryMb": 110, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0}
    gateways = [Gateway("front-%d" % n, "z-%d" % (n % 4), "127.0.0.%d" % (2 + n), store, folder, limits) for n in range(GATEWAYS)]
    for gateway in gateways:
        gateway.start()
    try:
        for gateway in gateways:
            if not await gateway.wait_until_ready():
                print("a gateway does not become ready")
                return 2
        await asyncio.sleep(3.0)
        wrong, judged = 0, 0
        for episode in range(EPISODES):
            await asyncio.sleep(0.2 * episode)
            if TROUBLE:
                record("store: silent for %.1f s" % SILENT_S)
                store.silent = True
                store.silences += 1
            await asyncio.sleep(SILENT_S)
            store.silent = False
            ended_at = now()
            await asyncio.sleep(CHANGE_AFTER_S)
            version, current, other = version + 1, other, current
            store.write("keyed.op", "config", config(version, current))
            changed_at = now()
            record("operator: version %d moves the route from %s to %s, acknowledged" % (version, other, current))
            judged_from = max(ended_at + CONTACT_S, changed_at + CONFIG_S) + MARGIN_S
            await asyncio.sleep(judged_from - now())
            late = {}

            async def consumer(gateway):
                nonlocal judged, wrong
                end = judged_from + 1.0
                while now() < end:
                    attempt, sent_at = new_id(), now()
                    try:
                        status, _, _ = await call(gateway.ip, gateway.front, "POST", "/app/", consumer_headers(attempt, 1500), b"x", 2)
                    except (OSError, BadMessage, asyncio.IncompleteReadError, asyncio.TimeoutError):
                        status = 0
                    judged += 1
                    if workers[other].runs.get(attempt):
                        wrong += 1
                        late.setdefault(gateway.name, []).append(sent_at)
                        record("broken: %s, sent %.2f s after the ack of version %d and %.2f s after the store's silence, to %s, is run by the service %s" % (
                            attempt, sent_at - changed_at, version, sent_at - ended_at, gateway.name, other))
                    await asyncio.sleep(0.05)

            await asyncio.gather(*(consumer(gateway) for gateway in gateways))
            record("episode %d: machines that were late: %s" % (episode + 1, sorted(late)))
        text = "%d of %d requests were run as only an older version allows" % (wrong, judged)
        record(text)
        print(text)
        return 1 if wrong else 0
    finally:
        end_all(gateways)


if __name__ == "__main__":
    main(play)
