"""Core machines are replaced or lose their disks one after the other, never more than two of five at a time."""

import asyncio
import json
import os
import shutil
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import standins  # noqa: E402

SERVICE = "huvo11a"
CATCH_UP_S = 4.0
"""Bound of the site: for so long a machine that is back, or new, still counts as lost."""
MARGIN_S = 0.5
RECOVERY_S = 15.0
"""Bound of the site: the operator reads the manifest back after this time."""
MORE_ROUTES = 700


def manifest(version, more_routes):
    """Returns a manifest; each version has another timeout."""
    made = standins.manifest(f"{version:08x}", f"{version - 1:08x}", SERVICE, timeout_ms=1000 + version)
    rows = made["routes"]["rows"]
    for number in range(more_routes):
        row = list(rows[0])
        row[0] = f"r-more{number}"
        row[2] = f"/more{number}/"
        rows.append(row)
    return made


class Operator:
    def __init__(self, deployment):
        self.deployment = deployment
        self.version = 0

    async def change(self, more_routes=0):
        self.version += 1
        status, answer = await self.deployment.order("PUT", "/api/config", manifest(self.version, more_routes))
        if status != 200:
            raise standins.CannotRun(f"manifest {self.version}: {status} {answer}")

    async def leader(self):
        """Returns the core machine that answers a read itself."""
        for machine in self.deployment.cores:
            try:
                status, _, _ = await standins.call(f"{machine.ip}:{standins.CONTROL_PORT}", "GET", "/api/config")
            except standins.HttpError:
                continue
            if status == 200:
                return machine
        raise standins.CannotRun("no core machine leads")

    async def read_back(self):
        """Reads the manifest at each core machine in turn for eight seconds. Returns its version, or nothing."""
        try:
            _, answer = await self.deployment.order("GET", "/api/config", timeout=8.0)
        except standins.CannotRun as error:
            self.deployment.record(f"the manifest does not come: {error}")
            return ""
        return json.loads(answer).get("version", "")


def lose_disk(machine):
    """The machine loses power and its disk."""
    machine.kill()
    shutil.rmtree(machine.fields["data_dir"])
    machine.deployment.record(f"{machine.name} loses power and its disk")


async def replace_core(deployment, operator):
    """One core machine is replaced, the leader's process restarts, and later two others lose their disks."""
    gone = deployment.cores[4]
    gone.kill()
    deployment.record(f"{gone.name} is gone for good")
    await asyncio.sleep(1)
    deployment.cores[4] = deployment.core(6)
    deployment.cores[4].start()
    await asyncio.sleep(2)
    leader = await operator.leader()
    leader.kill()
    deployment.record(f"the process of {leader.name}, which leads, is killed")
    await asyncio.sleep(0.5)
    leader.start()
    await asyncio.sleep(CATCH_UP_S + MARGIN_S + 1)
    deployment.record("lost: none; both have been back for longer than catch_up_s")
    leader = await operator.leader()
    losing = [machine for machine in deployment.cores[:4] if machine is not leader][:2]
    for machine in losing:
        lose_disk(machine)
    await asyncio.sleep(0.5)
    for machine in losing:
        machine.start()
    deployment.record("all machines are back")


async def stall_learner(deployment, operator):
    """Two core machines lose their disks; one is down again soon after it is back; then a third loses its disk."""
    for _ in range(150):
        await operator.change(MORE_ROUTES)
        await asyncio.sleep(0.06)
    await asyncio.sleep(CATCH_UP_S)
    third, fourth, fifth = deployment.cores[2:5]
    for machine in (fourth, fifth):
        lose_disk(machine)
    await asyncio.sleep(0.5)
    fourth.start()
    await asyncio.sleep(0.25)
    fifth.start()
    fifth_is_back = time.monotonic()
    await asyncio.sleep(0.2)
    fourth.kill()
    deployment.record("lost: core-4, which is down again, and core-5")
    await asyncio.sleep(fifth_is_back + CATCH_UP_S + MARGIN_S - time.monotonic())
    deployment.record("lost: core-4; core-5 has been back for longer than catch_up_s")
    lose_disk(third)
    deployment.record("lost: core-3 and core-4")
    await asyncio.sleep(0.5)
    third.start()
    fourth.start()
    deployment.record("all machines are back")


async def case(record, disturb):
    trouble = stall_learner if sys.argv[1:] == ["learner"] else replace_core
    deployment = standins.Deployment(record, [SERVICE] * 2)
    operator = Operator(deployment)
    workers = []
    consumers = []
    try:
        deployment.start()
        for number, machine in enumerate(deployment.sides):
            worker = standins.Worker(record, machine, SERVICE, f"i-{number}a7f3")
            await worker.start()
            workers.append(worker)
        await operator.change()
        for machine in deployment.cores + deployment.sides:
            machine.fields["bootstrap"] = "false"
        await standins.until(lambda: standins.keys_held(workers) == 65536, 30, "all keys held")
        consumers = [standins.Consumer(record, machine) for machine in deployment.sides]
        await asyncio.sleep(CATCH_UP_S + 1)
        await operator.change()
        before = standins.share_served(consumers)
        if disturb:
            await trouble(deployment, operator)
        await asyncio.sleep(RECOVERY_S)
        standins.forget_statuses(consumers)
        await asyncio.sleep(4)
        expected = f"{operator.version:08x}"
        read = await operator.read_back()
        after = standins.share_served(consumers)
        for line in (
            f"acknowledged last: {expected}; read back: {read or 'nothing'}",
            f"served before: {before:.2f}; served later than recovery_s after all machines were back: {after:.2f}",
        ):
            record(line)
            print(line)
        return read != expected
    finally:
        for consumer in consumers:
            consumer.task.cancel()
        for worker in workers:
            await worker.stop()
        deployment.stop()


standins.run_case(FOLDER, case)
