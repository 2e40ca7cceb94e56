"""One gateway is killed that holds tokens which others have lent it: do the others say that the tenant has spent them?"""
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
MACHINES = [("callao", 3), ("miraflores", 2), ("ancon", 2), ("chorrillos", 2)]  # as in the site file
ZONES = [zone for zone, _ in MACHINES]
TENANTS = ["tenant%d" % number for number in range(6)]
PREPAID = 600_000
FIT = 0.97  # of the prepaid tokens, which a request has to fit into to be owed
SETTLE_S = 1.5
STRIDE = 5


def config():
    return {
        "version": 7,
        "routes": [{"name": "draft", "host": "desk.example", "pathPrefix": "/draft/", "kind": "streaming", "timeoutMs": 8000,
                    "goalMs": 800, "priority": 0, "service": "drafting", "maxAttempts": 2, "public": False, "sticky": True,
                    "resumable": True, "gapTargetMs": 600}],
        "services": [{"name": "drafting", "healthPath": "/health", "maxConns": 370, "protocol": "h1", "tls": False,
                      "engine": {"slots": 64, "kvCapacity": 464458, "stride": STRIDE}}],
        "limits": {"headerBytes": 16384, "bodyBytes": 4194304, "headerMs": 3000, "idleMs": 15000},
        "tenants": [{"name": tenant, "apiKeys": ["key-" + tenant], "priority": 1, "prepaid": PREPAID} for tenant in TENANTS],
    }


class Consumers:
    """Sends requests of a tenant and keeps account of what it has consumed at most."""

    def __init__(self, record, tenant):
        self.record, self.tenant = record, tenant
        self.attempts = []  # [sent, ended or None, most, consumed]
        self.wrong = []
        self.statuses = collections.Counter()

    def most_consumed(self):
        moment = s.now()
        return sum(
            most if ended is None or moment < ended + SETTLE_S else consumed
            for _, ended, most, consumed in self.attempts
        )

    async def ask(self, gateway, counts, events):
        most = sum(counts)
        before = self.most_consumed()
        attempt = [s.now(), None, most, most]
        self.attempts.append(attempt)
        answer = await s.send(gateway.front, self.record, path="/draft/x", key="key-" + self.tenant,
                              body={"events": events}, counts=counts)
        attempt[1] = s.now()
        attempt[3] = counts[0] + STRIDE * answer.body.count(b"id: ") if answer.status == 200 else 0
        self.statuses[answer.status] += 1
        if 400 <= answer.status < 500 and answer.status not in (408, 421, 429) and before + most <= FIT * PREPAID:
            self.wrong.append(answer)
            self.record.line("refused with %d for good, though at most %d of %d prepaid tokens are consumed" % (
                answer.status, before, PREPAID), answer.body[:200].decode())
        return answer

    async def ask_until_answered(self, gateway, counts, events):
        """A consumer with one retry, which honours Retry-After up to a third of the time that it has left."""
        answer = await self.ask(gateway, counts, events)
        if answer.status == 503:
            await asyncio.sleep(min(2.0, float(answer.headers.get("retry-after", "0"))))
            answer = await self.ask(gateway, counts, events)
        return answer


def borrows(gateway, tenant):
    return any("loan from another gateway" in line and tenant in line for line in gateway.logged().splitlines())


async def run(record, folder, gateways):
    ports = s.free_ports()
    net = "127.%d.%d." % (s.random.randrange(10, 200), s.random.randrange(1, 250))
    store = s.Store((net + "1", ports["store"]), record)
    await store.start()
    for number in range(18):
        address = (net + str(100 + number), ports["worker"])
        await s.Worker(store, record, "i-%d" % number, "drafting", ZONES[number % 4], address).start()
    await store.put("keyed.op", "config", config())
    for zone, count in MACHINES:
        for number in range(count):
            name = "front-%s-%d" % (zone, number + 1)
            gateways.append(s.Gateway(folder, name, zone, ZONES, net + str(10 + len(gateways)), ports, store.address))
            await gateways[-1].start()
    for gateway in gateways:
        await gateway.wait_until_ready()
    await asyncio.sleep(6)
    # Two machines of a zone hold a tenant's tokens. The third one borrows what its requests need.
    victim = next(gateway for gateway in gateways if gateway.zone == "callao")
    others = [gateway for gateway in gateways if gateway is not victim]
    for tenant in TENANTS:
        consumers = Consumers(record, tenant)
        await consumers.ask(victim, (10, 40), 2)
        await asyncio.sleep(0.3)
        if borrows(victim, tenant):
            break
    else:
        record.line("no tenant's tokens are borrowed by", victim.name, ": the case couldn't run")
        return 2
    record.line(victim.name, "borrows tokens of", tenant)
    await asyncio.gather(*[consumers.ask_until_answered(victim, (1000, 4000), 12) for _ in range(40)])
    if TROUBLE:
        record.line(victim.name, "is killed, and started again after 1 s")
        victim.signal(signal.SIGKILL)
        await victim.process.wait()
        await asyncio.sleep(1)
        await victim.start()
    await asyncio.sleep(5)
    for number in range(100):
        await consumers.ask_until_answered(others[number % len(others)], (5000, 100), 4)
    count = sum(consumers.statuses.values())
    allowed = 5 + count / 500
    record.line("answers: %s; consumed at most %d of %d prepaid tokens" % (
        dict(consumers.statuses), sum(attempt[3] for attempt in consumers.attempts), PREPAID))
    is_broken = len(consumers.wrong) > allowed
    record.line("%d requests that fit were refused with a 4xx, where %.1f are allowed: %s" % (
        len(consumers.wrong), allowed, "DENIED is broken" if is_broken else "the rule is kept"))
    return 1 if is_broken else 0


async def main():
    record = s.Record(os.path.join(HERE, "record.txt"))
    folder = tempfile.mkdtemp()
    gateways = []
    try:
        return await asyncio.wait_for(run(record, folder, gateways), 110)
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
