"""A stream that its worker has ended whole is broken off, because the worker then exits as planned.

`case.py worker NAME` is the worker's process; without arguments the case is played.
"""
import asyncio
import os
import signal
import subprocess
import sys
import threading

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins_2 import *  # noqa: E402,F403

FOLDER = os.path.dirname(os.path.abspath(__file__))
WORKERS = 4
GATEWAYS = 4
STREAMS = 16
EVENTS = 60
EVENT_GAP_S = 0.06
DRAIN_S = 2.0
GRACE_S = 8.0
EXIT_DELAY_S = float(os.environ.get("EXIT_DELAY_S", "0"))


def event(number):
    return b"id: %d\ndata: %s\n\n" % (number, b"t" * 40)


WHOLE = b"".join(event(number) for number in range(1, EVENTS + 1))


async def stream_without_length(worker, run, writer):
    """Answers with events and neither a length nor chunks; the end of the connection is the end of the answer."""
    worker.answering = getattr(worker, "answering", 0) + 1
    writer.write(head(run) + b"Content-Type: text/event-stream\r\nConnection: close\r\n\r\n")
    for number in range(1, EVENTS + 1):
        writer.write(event(number))
        await writer.drain()
        await asyncio.sleep(EVENT_GAP_S)
    print("whole " + run["id"], flush=True)
    writer.close()
    worker.answering -= 1


async def serve_worker(name):
    """Serves until SIGTERM, then to the end of the last answer, and exits."""
    worker = Worker(name, stream_without_length)
    leaves = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, leaves.set)
    await worker.listen()
    print(worker.address, flush=True)
    await leaves.wait()
    while getattr(worker, "answering", 0) > 0:
        await asyncio.sleep(0.005)
    await asyncio.sleep(EXIT_DELAY_S)
    os._exit(0)


class WorkerProcess:
    def __init__(self, name):
        self.name, self.whole, self.registration = name, set(), None

    async def start(self):
        command = [sys.executable, os.path.abspath(__file__), "worker", self.name]
        self.process = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL)
        loop = asyncio.get_running_loop()
        line = await loop.run_in_executor(None, self.process.stdout.readline)
        self.address = line.decode().strip()
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self):
        for line in self.process.stdout:
            self.whole.add(line.decode().split()[1])

    def kill(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


async def case(record, scratch, processes):
    store = Store()
    await store.start()
    routes = [route("draft", "model", "streaming", 8000, 800, 1)]
    tenants = [{"name": "tenant-a", "apiKeys": ["key-a"], "priority": 1, "prepaid": 100000000}]
    await store.write("keyed.op", "config", configuration(1, routes, tenants))
    workers = [WorkerProcess("i-%d" % number) for number in range(WORKERS)]
    for worker in workers:
        await worker.start()
        processes.append(worker)
        worker.registration = Registration(
            store, worker.name, "model", worker.address, "zone-a", 64, int(time.time() * 1000))
        await worker.registration.begin()
    gateways = [Gateway(store, "front-%d" % number, "zone-a", scratch) for number in range(GATEWAYS)]
    for gateway in gateways:
        processes.append(gateway)
        gateway.start()
    for gateway in gateways:
        await gateway.wait_until_ready()
    await asyncio.sleep(3.5)
    record.say("%d gateways and %d workers are up" % (GATEWAYS, WORKERS))

    attempts = [Attempt(gateways[number % GATEWAYS], "/draft/a", "key-a", 8000, tokens=(1000, 5 * EVENTS))
                for number in range(STREAMS)]
    running = [asyncio.ensure_future(attempt.run()) for attempt in attempts]
    await asyncio.sleep(0.5)
    if TROUBLE:
        workers[0].registration.entry["state"] = "draining"
        await workers[0].registration.write()
        record.say("worker %s has reported draining" % workers[0].name)
        gateways[0].signal(signal.SIGTERM)
        stopped_at = time.time()
        record.say("%s gets SIGTERM" % gateways[0].name)
        await asyncio.sleep(DRAIN_S + 0.3)
        workers[0].process.send_signal(signal.SIGTERM)
        record.say("worker %s serves its last answers and then exits" % workers[0].name)
    await asyncio.gather(*running)
    await asyncio.sleep(0.5)
    lost = 0
    whole_at_workers = set().union(*(worker.whole for worker in workers))
    for attempt in attempts:
        is_whole = attempt.is_complete and attempt.body == WHOLE
        was_made = attempt.id in whole_at_workers
        is_lost = (TROUBLE and attempt.gateway is gateways[0] and was_made and not is_whole
                   and attempt.ended_at < stopped_at + GRACE_S)
        lost += is_lost
        record.write("%s by %s, %d of %d events, %s by its worker%s" % (
            attempt.text(), attempt.gateway.name, attempt.body.count(b"data:"), EVENTS,
            "made whole" if was_made else "not made whole", ": LOST" if is_lost else ""))
    cut = sum(a.id in whole_at_workers and not (a.is_complete and a.body == WHOLE) for a in attempts)
    record.say("%d streams, %d made whole by their workers, %d of these not complete at their consumers, %d of them by "
               "the gateway that got SIGTERM" % (STREAMS, len(whole_at_workers), cut, lost))
    return lost == 0


if sys.argv[1:2] == ["worker"]:
    asyncio.run(serve_worker(sys.argv[2]))
else:
    play(FOLDER, case)
