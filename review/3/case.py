"""A liveness report of another writer names an unknown service; the worker at that address is alive."""

import asyncio
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import standins  # noqa: E402

SERVICE = "huvo11a"
WORK_S = 1.5
"""Time that the worker at the address of the foreign report takes for a request; the others are fast."""


async def send_foreign_report(record, worker):
    """Sends a report that names a service of no manifest, with the address of a live worker."""
    body = {
        "address": worker.address,
        "info": {"service": "nosuch7", "version": "v1", "zone": worker.machine.zone, "slots": 12},
        "status": {"state": "ready", "seq": 1, "warmup_left_ms": 0},
        "born": int(time.time() * 1000),
    }
    status, _, answer = await standins.call(
        f"{worker.machine.ip}:{standins.CONTROL_PORT}",
        "PUT",
        "/api/instances/i-0b5e11ed",
        {"Content-Type": "application/json"},
        json.dumps(body).encode(),
    )
    record(f"foreign report {json.dumps(body)}: {status} {answer.decode()}")


async def case(record, disturb):
    deployment = standins.Deployment(record, [SERVICE] * 4)
    workers = []
    consumers = []
    try:
        workers = await standins.start_service(deployment, SERVICE, timeout_ms=2500)
        workers[0].work_s = WORK_S
        workers[0].drops_closed = False
        consumers = [standins.Consumer(record, machine, deadline_ms=5000) for machine in deployment.sides]
        await asyncio.sleep(8)
        owner = standins.Owner(record, workers)
        await asyncio.sleep(1)
        if disturb:
            await send_foreign_report(record, workers[0])
        await asyncio.sleep(8)
        for consumer in consumers:
            record(f"consumer {consumer.machine.name}: {consumer.statuses}")
        return owner.report()
    finally:
        for consumer in consumers:
            consumer.task.cancel()
        for worker in workers:
            await worker.stop()
        deployment.stop()


standins.run_case(FOLDER, case)
