"""Consumers leave early; a worker whose queue gets long resets further connections while it works on."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import standins  # noqa: E402

SERVICE = "huvo11a"
TIMEOUT_MS = 2500
DEADLINE_MS = 5000
WORK_S = 2.0
"""Time that the busy worker takes for a request."""
ROUNDS = 4
ROUND_S = 0.35
LEAVES_AFTER_S = 0.3
"""When the consumers leave: well before their time limit."""


async def press(consumers, worker, leaves_after_s):
    """Sends as many requests a round as the worker has slots, all for keys of its first row."""
    first, last, _ = worker.held()[0]
    keys = [first + number % (last - first + 1) for number in range(worker.slots)]
    for _ in range(ROUNDS):
        for number, key in enumerate(keys):
            standins.spawn(consumers[number % len(consumers)].send(key, leaves_after_s))
        await asyncio.sleep(ROUND_S)
    return keys


async def case(record, disturb):
    deployment = standins.Deployment(record, [SERVICE] * 4)
    workers = []
    consumers = []
    try:
        workers = await standins.start_service(deployment, SERVICE, timeout_ms=TIMEOUT_MS)
        busy = workers[0]
        consumers = [standins.Consumer(record, machine, deadline_ms=DEADLINE_MS) for machine in deployment.sides]
        await asyncio.sleep(8)
        owner = standins.Owner(record, workers)
        for consumer in consumers:
            consumer.task.cancel()
        await asyncio.sleep(1)
        busy.work_s = WORK_S
        busy.drops_closed = False
        keys = await press(consumers, busy, LEAVES_AFTER_S if disturb else None)
        await asyncio.sleep(0.3)
        # From now on other consumers ask for the same keys, a few times a second.
        for number, consumer in enumerate(consumers):
            consumer.keys = lambda number=number: keys[number]
            consumer.task = standins.spawn(consumer.send_always())
        await asyncio.sleep(8)
        for consumer in consumers:
            record(f"consumer {consumer.machine.name}: {consumer.statuses}")
        record(f"{busy.identity} has reset {busy.resets} connections")
        return owner.report()
    finally:
        for consumer in consumers:
            consumer.task.cancel()
        for worker in workers:
            await worker.stop()
        deployment.stop()


standins.run_case(FOLDER, case)
