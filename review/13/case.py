"""A worker's registration is carried out late by the store, after the worker's entry was removed: is the worker that leaves
used again?"""
import asyncio
import collections
import os
import shutil
import signal
import sys
import tempfile

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
sys.dont_write_bytecode = True
import standins_3 as s

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["callao", "miraflores"]
WORKERS = 8  # one of them leaves: 0.125, where the site file has 0.13
DRAIN_S = 2.0
LOST_BEFORE_S = 3.4  # the write without an answer is over contactMs (3 s) before the ack, so the store is stable then
LATE_S = 5.9  # the kinds page: done 1 to 6 s later
SERVES_S = 5.0  # the worker serves for drainMs and a little longer, at times many seconds
EXPIRY_S = 3 * s.HEARTBEAT_S


def config():
    return {
        "version": 7,
        "routes": [{"name": "issue", "host": "desk.example", "pathPrefix": "/issue/", "kind": "non_idempotent", "timeoutMs": 1500,
                    "goalMs": 300, "priority": 2, "service": "registre", "maxAttempts": 1, "public": False, "sticky": False}],
        "services": [{"name": "registre", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": False}],
        "limits": {"headerBytes": 16384, "bodyBytes": 4194304, "headerMs": 3000, "idleMs": 15000},
        "tenants": [{"name": "treasurer", "apiKeys": ["k1"], "priority": 1}],
    }


async def consumer(gateway, record, answers, stop):
    while not stop.is_set():
        answer = await s.send(gateway.front, record, path="/issue/x", key="k1", body={"work_s": 0.06}, limit_s=1.5)
        answers.append(answer)
        await asyncio.sleep(0.05)


async def run(record, folder, gateways):
    ports = s.free_ports()
    net = "127.%d.%d." % (s.random.randrange(10, 200), s.random.randrange(1, 250))
    store = s.Store((net + "1", ports["store"]), record)
    await store.start()
    workers = []
    for number in range(WORKERS):
        address = (net + str(100 + number), ports["worker"])
        worker = s.Worker(store, record, "i-%d" % number, "registre", ZONES[number % 2], address, slots=6)
        await worker.start()
        workers.append(worker)
    await store.put("keyed.op", "config", config())
    for number, zone in enumerate(ZONES):
        gateway = s.Gateway(folder, "front-%s" % zone, zone, ZONES, net + str(10 + number), ports, store.address)
        gateways.append(gateway)
        await gateway.start()
    for gateway in gateways:
        await gateway.wait_until_ready()
    answers, stop = [], asyncio.Event()
    consumers = [asyncio.ensure_future(consumer(gateways[n % 2], record, answers, stop)) for n in range(12)]
    await asyncio.sleep(3)
    worker = workers[0]
    if TROUBLE:
        record.line("a registration of", worker.name, "gets no answer from the store")
        await worker.beat(done_after_s=LATE_S)
    await asyncio.sleep(LOST_BEFORE_S)
    worker.beats.cancel()
    await store.put("keyed.servers", worker.name, None)
    removed = s.now()
    record.line("the entry of", worker.name, "is removed, which the store acknowledges; it had sequence %d" % worker.sequence)
    await asyncio.sleep(SERVES_S)
    record.line(worker.name, "exits")
    worker.crash()
    if TROUBLE:
        back = LATE_S - LOST_BEFORE_S
        await asyncio.sleep(back + EXPIRY_S - SERVES_S)
        await store.put("keyed.servers", worker.name, None)
        record.line("the entry of", worker.name, "has expired")
    await asyncio.sleep(2)
    stop.set()
    await asyncio.gather(*consumers)
    late = [call for call, at in worker.arrivals if at > removed + DRAIN_S]
    for call in late:
        status = next((answer.status for answer in answers if answer.call == call), None)
        record.line("reached %s later than drainMs after the ack:" % worker.name, call, "answered", status)
    record.line("answers: %s" % dict(collections.Counter(answer.status for answer in answers)))
    record.line("%d requests reached %s later than drainMs after the ack: %s" % (
        len(late), worker.name, "DRAIN is broken" if late else "the rule is kept"))
    return 1 if late else 0


async def main():
    record = s.Record(os.path.join(HERE, "record.txt"))
    folder = tempfile.mkdtemp()
    gateways = []
    try:
        return await asyncio.wait_for(run(record, folder, gateways), 100)
    except (OSError, RuntimeError, asyncio.TimeoutError) as error:
        record.line("the case couldn't run:", repr(error))
        return 2
    finally:
        for gateway in gateways:
            gateway.signal(signal.SIGKILL)
            if gateway.process is not None:
                await gateway.process.wait()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(folder)


if __name__ == "__main__":
    loop = asyncio.new_event_loop()
    code = loop.run_until_complete(main())
    sys.stdout.flush()
    os._exit(code)
