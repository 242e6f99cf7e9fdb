"""Stand-ins of the second review: operator, workers with keys by heartbeat, clients, and the programs under test.

Everything runs on loopback addresses of this process' own (127.A.B.n) and in a temporary folder. All programs that are
started here are ended here, by their ids.
"""
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

TOP = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
BOUNDS = ("seed_lag_s=3,reuse_after_s=2,contact_ms=3000,ack_timeout_ms=4000,catch_up_s=4,drain_ms=2000,grace_s=6,"
          "loss_slack_ms=200,config_ms=2000,rollback_slack_ms=250,outer_ms=5000,retry_budget_ratio=0.2,"
          "retry_window_s=10,retry_budget_slack=62,warmup_factor=1.5,warmup_slack=5,evacuation_ms=5000,recovery_s=15,"
          "hold_max_ms=10000,thaw_ms=300")


class CannotRun(Exception):
    """The case couldn't be set up; nothing is said of the rule."""


class Record:
    """record.txt of a case: a line for each thing that was sent, answered or run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begun = time.monotonic()

    def now(self):
        return time.monotonic() - self.begun

    def add(self, text):
        self.file.write("%9.3f s  %s\n" % (self.now(), text))
        self.file.flush()


def free_net(numbers, ports):
    """Returns a prefix 127.A.B. on which none of the addresses and ports is in use."""
    for _ in range(50):
        net = "127.%d.%d." % (random.randint(20, 220), random.randint(1, 250))
        try:
            for number in numbers:
                for port in ports:
                    with socket.socket() as probe:
                        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        probe.bind((net + str(number), port))
            return net
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


async def read_message(reader):
    """Reads one HTTP/1.1 message. Returns (first line, header fields in lower case, body), or None at the end."""
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        line = await reader.readline()
        if not line:
            return None
        head += line
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    body = b""
    if "chunked" in fields.get("transfer-encoding", "").lower():
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    elif "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    return lines[0], fields, body


async def call(address, method, path, fields=None, body=b"", timeout=1.0):
    """One HTTP call on a connection of its own. Returns (status, header fields, body) or None without an answer."""
    host, port = address.rsplit(":", 1)
    writer = None

    async def run():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, int(port))
        head = "%s %s HTTP/1.1\r\nHost: %s\r\n" % (method, path, (fields or {}).get("Host", address))
        for name, value in (fields or {}).items():
            if name != "Host":
                head += "%s: %s\r\n" % (name, value)
        if body or method in ("PUT", "POST", "PATCH"):
            head += "Content-Length: %d\r\n" % len(body)
        writer.write(head.encode("latin-1") + b"\r\n" + body)
        await writer.drain()
        message = await read_message(reader)
        return None if message is None else (int(message[0].split()[1]), message[1], message[2])

    try:
        return await asyncio.wait_for(run(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Program:
    """One of the project's programs, started as the deploy file says, with a settings file of its own."""

    def __init__(self, role, settings, folder, name):
        self.command = [os.path.join(TOP, "target/bergamotweir"), "platform", role]
        self.name = name
        self.settings = os.path.join(folder, name + ".conf")
        self.log = os.path.join(folder, name + ".log")
        self.process = None
        self.write(settings)

    def write(self, settings):
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write("".join("%s=%s\n" % entry for entry in settings.items()))

    def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["BERGAMOTWEIR_NODE_FILE"] = self.settings
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(self.command, stdin=subprocess.DEVNULL, stdout=log, stderr=log, cwd=TOP,
                                            env=environment)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def signal(self, number):
        self.process.send_signal(number)


class Machines:
    """Five machines with a disk that run control, and machines that run an agent each, in three zones, as in qaela-mesh."""

    CORES = (1, 2, 3, 4, 5)
    ZONES = ("za", "zb", "zc")

    def __init__(self, record, services, heartbeat_ms=870, grants="heartbeat"):
        """services: the service at each agent's machine, by the number of the machine."""
        if not os.path.exists(os.path.join(TOP, "target/bergamotweir")):
            raise CannotRun("target/bergamotweir isn't there: run the build of deploy/system.toml")
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.net = free_net(list(self.CORES) + list(services), (7600, 7601, 7602, 7603, 8620, 8624, 8625, 8628, 8629))
        self.heartbeat_ms = heartbeat_ms
        self.grants = grants
        self.seeds = ",".join(self.ip(number) + ":8620" for number in self.CORES[:3])
        self.controls = {}
        self.agents = {}
        for number in self.CORES:
            self.controls[number] = Program("control", self.control_settings(number), self.folder, "core-%d" % number)
        for number, service in services.items():
            self.agents[number] = Program("agent", self.agent_settings(number, service), self.folder,
                                          "side-%d" % number)
        self.order_at = 0
        self.last_node = None  # the node that answered the last order; it is asked first

    def ip(self, number):
        return self.net + str(number)

    def zone(self, number):
        return self.ZONES[number % 3]

    def common(self, number, machine_class, serves):
        return {"node_id": "%s-%d" % (machine_class, number), "role": "my-" + machine_class,
                "machine_class": machine_class, "serves": serves, "ip": self.ip(number), "zone": self.zone(number),
                "region": "r", "zones.za": "r", "zones.zb": "r", "zones.zc": "r",
                "listen.control": self.ip(number) + ":8620", "internal_ports": "7600,7615", "seeds": self.seeds,
                "bootstrap": "true", "limits.cores": "1", "limits.link_mbps": "1000.0", "discovery": "static", "entry": "static",
                "heartbeat_ms": str(self.heartbeat_ms), "contracts": "base,drain,config,cost,retry,recover,own,places",
                "fault_tolerance.machines": "2", "fault_tolerance.zones": "1", "fault_tolerance.regions": "0",
                "bounds": BOUNDS, "grants": self.grants}

    def control_settings(self, number):
        settings = self.common(number, "core", "control_plane")
        settings.update({"counts_as_loss": "true", "limits.cpu_share": "0.6", "limits.memory_mb": "256",
                         "limits.max_fds": "4096", "limits.disk_mb": "256",
                         "data_dir": os.path.join(self.folder, "data-%d" % number)})
        return settings

    def agent_settings(self, number, service):
        settings = self.common(number, "sidecar", "sidecar")
        settings.update({"counts_as_loss": "false", "limits.cpu_share": "0.2", "limits.memory_mb": "260",
                         "limits.max_fds": "4100", "limits.disk_mb": "0",
                         "listen.inbound": self.ip(number) + ":8624", "listen.outbound": self.ip(number) + ":8629",
                         "listen.ready_addr": self.ip(number) + ":8625", "app_addr": self.ip(number) + ":8628",
                         "service": service})
        return settings

    def start(self):
        for program in list(self.controls.values()) + list(self.agents.values()):
            program.start()

    def end(self):
        for program in list(self.controls.values()) + list(self.agents.values()):
            program.kill()
        if os.environ.get("KEEP_LOGS"):
            print("logs in " + self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def order(self, method, path, body=None, patience=12.0, quiet=False):
        """An order of the operator, sent again as the pages say until it has a clear answer. Returns the status."""
        data = b"" if body is None else (body if isinstance(body, str) else json.dumps(body)).encode()
        end = time.monotonic() + patience
        pause = 0.05
        while time.monotonic() < end:
            self.order_at += 1
            address = self.last_node or self.ip(self.CORES[self.order_at % len(self.CORES)]) + ":8620"
            self.last_node = None
            answer = await call(address, method, path, {"Content-Type": "application/json"}, data)
            for _ in range(2):
                if answer is None or answer[0] != 307:
                    break
                address = answer[1]["location"].split("/")[2]
                answer = await call(address, method, path, {"Content-Type": "application/json"}, data)
            if answer is not None and (answer[0] < 300 or answer[0] in (400, 409, 412, 413, 422)):
                self.last_node = address
                if not quiet:
                    self.record.add("order %s %s: %d" % (method, path, answer[0]))
                return answer[0]
            await asyncio.sleep(pause)
            pause = min(0.5, pause * 1.5)
        raise CannotRun("no clear answer to %s %s" % (method, path))

    async def ready(self, patience=15.0):
        end = time.monotonic() + patience
        waiting = set(self.agents)
        while waiting:
            if time.monotonic() > end:
                raise CannotRun("agents not ready: %s" % sorted(waiting))
            for number in list(waiting):
                answer = await call(self.ip(number) + ":8625", "GET", "/api/readiness")
                if answer is not None and answer[0] == 200:
                    waiting.discard(number)
            await asyncio.sleep(0.1)


class Worker:
    """A worker with its heartbeats; serves keys only while it holds them, if its service is sharded.

    late: function from the number of a heartbeat to the seconds by which it arrives late at the agent (0: on time).
    """

    def __init__(self, machines, number, service, worker_id, sharded, late=None, slots=12, work_s=0.05):
        self.machines = machines
        self.record = machines.record
        self.number = number
        self.service = service
        self.id = worker_id
        self.sharded = sharded
        self.late = late or (lambda seq: 0.0)
        self.slots = slots
        self.work_s = work_s
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.rows = {}  # (first, last) -> fence
        self.until = 0.0
        self.freed = []
        self.fences = []  # (first, last, fence) seen
        self.intervals = []  # (first, last, fence, from, until): all that was ever held, by this worker's clock
        self.answered_seq = 0  # the last heartbeat that was answered in time
        self.ran = []
        self.tasks = []
        self.server = None

    @property
    def address(self):
        return self.machines.ip(self.number) + ":8628"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.machines.ip(self.number), 8628)
        self.record.add("worker %s of %s starts at %s" % (self.id, self.service, self.address))
        self.tasks.append(asyncio.ensure_future(self.beat()))

    async def end(self):
        for task in self.tasks:
            task.cancel()
        if self.server is not None:
            self.server.close()
        self.let_go(time.monotonic())
        self.record.add("worker %s ends" % self.id)

    # Keys.

    def let_go(self, at):
        """Ends what is held at the given moment, or when it ran out."""
        for (first, last), (fence, since) in self.rows.items():
            self.intervals.append((first, last, fence, since, min(at, self.until)))
        self.rows = {}

    def expire(self):
        if self.rows and time.monotonic() >= self.until:
            self.record.add("worker %s: its hold of %d keys has run out" % (self.id, self.count()))
            self.let_go(self.until)

    def count(self):
        return sum(last - first + 1 for first, last in self.rows)

    def holds(self, key):
        self.expire()
        return any(first <= key <= last for first, last in self.rows)

    def take(self, answer, sent_at):
        if "holds" not in answer:
            return
        now = time.monotonic()
        self.expire()
        until = sent_at + answer["hold_ms"] / 1000.0
        wanted = {}
        for first, last, fence, _ in answer["holds"]:
            if any(f <= last and first <= l and seen > fence for f, l, seen in self.fences):
                self.record.add("worker %s doesn't accept %d-%d under %d" % (self.id, first, last, fence))
                continue
            if until <= now:
                continue
            wanted[(first, last)] = fence
            self.fences.append((first, last, fence))
        kept = {}
        for keys, (fence, since) in self.rows.items():
            if wanted.get(keys) == fence:
                kept[keys] = (fence, since)
                continue
            self.intervals.append((keys[0], keys[1], fence, since, min(now, self.until)))
            if not any(first <= keys[0] and keys[1] <= last for first, last in wanted):
                self.freed.append([keys[0], keys[1], "%016x" % random.getrandbits(64)])
        before = self.count()
        for keys, fence in wanted.items():
            kept.setdefault(keys, (fence, now))
        self.rows = kept
        self.until = until
        if self.count() != before:
            self.record.add("worker %s holds %d keys now, for %.2f s" % (self.id, self.count(), until - now))

    # Heartbeats.

    async def beat(self):
        while True:
            self.tasks.append(asyncio.ensure_future(self.report()))
            self.tasks = [task for task in self.tasks if not task.done()]
            await asyncio.sleep(self.machines.heartbeat_ms / 1000.0)

    async def report(self):
        self.expire()
        self.seq += 1
        seq = self.seq
        freed, self.freed = self.freed, []
        body = {"address": self.address, "born": self.born,
                "info": {"service": self.service, "version": "v1", "zone": self.machines.zone(self.number),
                         "slots": self.slots},
                "status": {"state": "ready", "seq": seq, "warmup_left_ms": 0}}
        if self.sharded:
            body["holds"] = [[first, last, fence] for (first, last), (fence, _) in self.rows.items()]
            body["freed"] = freed
        sent_at = time.monotonic()
        late = self.late(seq)
        if late:
            self.record.add("worker %s sends heartbeat %d, holds %d keys; it arrives %.2f s late"
                            % (self.id, seq, self.count(), late))
            self.tasks.append(asyncio.ensure_future(self.deliver_late(body, late)))
            self.freed = freed + self.freed
            return
        answer = await call(self.machines.ip(self.number) + ":8620", "PUT", "/api/instances/" + self.id,
                            {"Content-Type": "application/json"}, json.dumps(body).encode(), 1.0)
        if answer is None or answer[0] != 200 or time.monotonic() - sent_at > 1.0:
            self.freed = freed + self.freed
            self.record.add("worker %s: heartbeat %d has no answer in time" % (self.id, seq))
            return
        self.take(json.loads(answer[2]) if answer[2] else {}, sent_at)
        self.answered_seq = seq

    async def deliver_late(self, body, late):
        """The network's part: the bytes of a heartbeat reach the agent late; its sender has given up meanwhile."""
        await asyncio.sleep(late)
        answer = await call(self.machines.ip(self.number) + ":8620", "PUT", "/api/instances/" + self.id,
                            {"Content-Type": "application/json"}, json.dumps(body).encode(), 1.0)
        self.record.add("late heartbeat %d of worker %s has reached its agent: %s"
                        % (body["status"]["seq"], self.id, answer[0] if answer else "no answer"))

    # Requests.

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                method, path, _ = message[0].split(" ", 2)
                status, fields, body = await self.answer(method, path, message[1], message[2])
                head = "HTTP/1.1 %d X\r\nContent-Length: %d\r\n" % (status, len(body))
                for name, value in fields.items():
                    head += "%s: %s\r\n" % (name, value)
                writer.write(head.encode("latin-1") + b"\r\n" + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    async def answer(self, method, path, fields, body):
        if path == "/health":
            return 200, {"X-Upstream-Instance": self.id}, b""
        request = fields.get("x-request-id", "")
        echo = {"X-Request-Id": request}
        if fields.get("x-expected-instance", self.id) != self.id:
            return 421, {**echo, "X-Not-Executed": "1"}, b""
        if self.sharded and not self.holds(int(fields.get("x-shard-key", "0"))):
            return 421, {**echo, "X-Not-Executed": "1"}, b""
        self.ran.append((request, fields))
        self.record.add("worker %s runs %s" % (self.id, request))
        await asyncio.sleep(self.work_s)
        text = ("%s %s" % (self.id, request)).encode()
        return 200, {**echo, "X-Upstream-Signature": "%s.%d" % (self.id, len(text))}, text


def manifest(version, base, services, routes):
    """services: {name: sharded}; routes: rows of (name, host, prefix, kind, service)."""
    return {"version": "%08x" % version, "base_version": "%08x" % base,
            "routes": {"columns": ["name", "host", "prefix", "kind", "timeout_ms", "target_latency_ms", "priority",
                                   "attempts", "service"],
                       "rows": [[name, host, prefix, kind, 2500, 600, 1, 2, service]
                                for name, host, prefix, kind, service in routes]},
            "services": {"columns": ["name", "health_path", "max_connections", "protocol", "tls", "warmup_s",
                                     "warmup_per_s", "sharded", "warm_s", "grants"],
                         "rows": [[name, "/health", 130, "h1", False, 3.0, 14.0] +
                                  ([True, 2.0, "heartbeat"] if sharded else [None, None, None])
                                  for name, sharded in services.items()]},
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}


def both_held(workers, longest=0.5):
    """Returns the times for which two workers held the same key longer than allowed, the longest first."""
    found = []
    for index, one in enumerate(workers):
        for other in workers[index + 1:]:
            for first, last, fence, since, until in one.intervals:
                for other_first, other_last, other_fence, other_since, other_until in other.intervals:
                    start, stop = max(since, other_since), min(until, other_until)
                    low, high = max(first, other_first), min(last, other_last)
                    if low <= high and stop - start > longest:
                        found.append((stop - start, low, high, one.id, fence, other.id, other_fence, start))
    return sorted(found, reverse=True)


def run_case(record_path, play, everything="all"):
    """Plays a case; play(record, trouble) returns a text of what broke the rule, or None. Exits as the issue says.

    TROUBLE=0 plays without disruptions, TROUBLE=1 (or unset) with everything, TROUBLE=NAME,... with those alone.
    """
    record = Record(record_path)
    trouble = os.environ.get("TROUBLE", "1")
    trouble = {"0": "", "1": everything}.get(trouble, trouble)
    record.add("trouble: %s" % (trouble or "none"))
    try:
        broken = asyncio.run(asyncio.wait_for(play(record, trouble), 110))
    except (CannotRun, asyncio.TimeoutError) as fault:
        record.add("couldn't run: %s" % (fault or "too slow"))
        print("couldn't run: %s" % (fault or "too slow"))
        sys.exit(2)
    record.add("broken: %s" % broken if broken else "the rule held")
    print("broken: %s" % broken if broken else "the rule held")
    sys.exit(1 if broken else 0)
