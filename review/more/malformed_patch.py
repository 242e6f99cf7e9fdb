"""Sends PATCH calls whose parts are of the wrong type and prints how each is answered and what is in force then."""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

import standins  # noqa: E402

SERVICE = "huvo11a"


async def main():
    record = standins.Record(os.devnull)
    deployment = standins.Deployment(record, [SERVICE])
    deployment.start()
    try:
        await deployment.order("PUT", "/api/config", standins.manifest("00000001", "00000000", SERVICE))
        for version, part in enumerate(({"remove": ["r-main"]}, {"remove": 5}, {"upsert": "x"}, {"upsert": []}), 2):
            body = {"version": f"{version:08x}", "base_version": f"{version - 1:08x}", **part}
            status, _ = await deployment.order("PATCH", "/api/config", body)
            _, answer = await deployment.order("GET", "/api/config")
            in_force = json.loads(answer)
            routes = [row[0] for row in in_force["routes"]["rows"]]
            print(f"PATCH {json.dumps(part)}: {status}; in force {in_force['version']} with {routes}")
    finally:
        deployment.stop()


asyncio.run(main())
