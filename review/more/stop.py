"""A machine is stopped while a consumer's second request has its answer and the first one is still being worked on.

Checks the rule LOST, as review/N/run.sh does: ends with 1 if it was broken, 0 if it held, 2 if it could not run.
"""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import standins  # noqa: E402

SERVICE = "kafi81c"
TIMEOUT_MS = 8000
"""As the route of a deployment's longest kind of request (demands/camara-remates-grown.toml)."""
DEADLINE_MS = 15000
GRACE_S = 6.0
SLOW_S = 6.8
FAST_S = 0.3


class Worker(standins.Worker):
    """Works as long as the path says."""

    async def run(self, request, method, target, key, deadline, answered):
        self.work_s = float(target.split("/")[2])
        return await super().run(request, method, target, key, deadline, answered)


async def send_both(record, machine):
    """Sends two requests, the second before the first is answered. Returns how many whole answers came."""
    reader, writer = await asyncio.open_connection(machine.ip, standins.OUTBOUND_PORT)
    for name, work in (("first", SLOW_S), ("second", FAST_S)):
        lines = (
            f"GET /main/{work}/x HTTP/1.1",
            "Host: shop.example",
            f"X-Request-Id: {name}{id(writer):x}",
            f"X-Deadline-Ms: {DEADLINE_MS}",
        )
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        record(f"consumer sends {name}{id(writer):x}")
    answers = 0
    try:
        while answers < 2:
            start, fields = await standins.read_head(reader)
            await standins.read_body(reader, fields)
            answers += 1
            record(f"consumer gets {start}")
    except (OSError, asyncio.IncompleteReadError) as error:
        record(f"the connection ends after {answers} answers: {type(error).__name__}")
    writer.close()
    return answers, f"second{id(writer):x}"


async def case(record, disturb):
    deployment = standins.Deployment(record, [SERVICE] * 4)
    workers = []
    try:
        deployment.start()
        for number, machine in enumerate(deployment.sides):
            worker = Worker(record, machine, SERVICE, f"i-{number}a7f3", sharded=False)
            await worker.start()
            workers.append(worker)
        first = standins.manifest("00000001", "00000000", SERVICE, timeout_ms=TIMEOUT_MS, sharded=None)
        status, answer = await deployment.order("PUT", "/api/config", first)
        if status != 200:
            raise standins.CannotRun(f"first manifest: {status} {answer}")
        await asyncio.sleep(8)
        machine = deployment.sides[0]
        consumers = [standins.spawn(send_both(record, machine)) for _ in range(4)]
        await asyncio.sleep(0.2)
        if disturb:
            machine.signal(signal.SIGTERM)
            stopped_at = time.monotonic()
            while machine.process.poll() is None and time.monotonic() < stopped_at + GRACE_S:
                await asyncio.sleep(0.01)
            record(f"{machine.name} ended {time.monotonic() - stopped_at:.2f} s after SIGTERM")
            machine.kill()
        results = await asyncio.gather(*consumers)
        ran = {request for worker in workers for _, request, _ in worker.runs}
        lost = [second for answers, second in results if answers < 2 and second in ran]
        line = f"of {len(results)} second requests {len(lost)} were run and never answered"
        record(line)
        print(line)
        return bool(lost)
    finally:
        for worker in workers:
            await worker.stop()
        deployment.stop()


standins.run_case(FOLDER, case)
