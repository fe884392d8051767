"""Model workers on sockets: each listens beside its agent's process, and sends it heartbeats."""

from __future__ import annotations

import http.client
import json
from collections.abc import Callable
from random import Random
from typing import Any, cast

from pipitledge.agent.agent import Agent
from pipitledge.emulator.cluster.worker import Gangs, ModelWorker, Onlooker
from pipitledge.emulator.soak.plan import WORKER_PORT, MachinePlan, SoakPlan
from pipitledge.runtime import logs
from pipitledge.runtime.call_threads import CallLimits, CallOutcome, CallThreadPool, PendingCall
from pipitledge.runtime.exchanges import HandlerExchange
from pipitledge.runtime.executor import SerialExecutor
from pipitledge.runtime.http_server import HttpServer, ServerOptions
from pipitledge.runtime.http_types import HttpRequest, HttpResponse, Respond
from pipitledge.runtime.worker_transport import INSTANCE_HEADER
from pipitledge.wire.paths import INSTANCES_PREFIX

ANSWER_SECONDS = 5.0
HEARTBEAT_TIMEOUT_SECONDS = 1.0
MOST_POLLS = 16  # calls of its agent that one worker answers at once
LATE_CALL_SECONDS = (1.0, 5.0)  # until a call that gets no answer is executed
LATE_HEARTBEAT_SECONDS = (0.5, 4.0)  # that a heartbeat is on its way
BACK_SECONDS = 1.0  # until a worker that has left is back as a new instance


class RealWorld:
    """Time as the workers of a real run see it; implements `WorkerWorld`."""

    def __init__(self, host: SerialExecutor, random: Random) -> None:
        """Run everything under the lock of `host`."""
        self._executor = host
        self.random = random

    @property
    def time(self) -> float:
        """Steady time, seconds."""
        return self._executor.now()

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Run `action` at that time."""
        self._executor.at(when, action)

    def after(self, delay: float, action: Callable[[], None]) -> None:
        """Run `action` after `delay` seconds."""
        self._executor.at(self._executor.now() + delay, action)


class AgentOverHttp:
    """The agent's process as its worker calls it; has the two calls of `Agent` that a worker makes."""

    def __init__(
        self, host: SerialExecutor, machine: MachinePlan, threads: CallThreadPool, late_share: float, random: Random
    ) -> None:
        """Call the agent on `machine` on one of `threads`; `late_share` of the heartbeats are on their way for long."""
        self._executor = host
        self._machine = machine
        self._threads = threads
        self._late_share = late_share
        self._random = random

    def heartbeat(self, instance: str, body: bytes, answer: Callable[[int, bytes], None]) -> None:
        """Tell the agent of the worker."""
        if self._random.random() >= self._late_share:
            self._call("PUT", instance, body, answer)
            return
        arrives_at = self._executor.now() + self._random.uniform(*LATE_HEARTBEAT_SECONDS)
        self._executor.at(arrives_at, lambda: self._call("PUT", instance, body, answer))

    def leave(self, instance: str, answer: Callable[[int, bytes], None]) -> None:
        """Tell the agent that the worker leaves."""
        self._call("DELETE", instance, b"", answer)

    def _call(self, method: str, instance: str, body: bytes, answer: Callable[[int, bytes], None]) -> None:
        def perform() -> CallOutcome:
            status, content = self._exchange(method, instance, body)
            self._executor.run(lambda: answer(status, content), "heartbeat")
            return CallOutcome.REACHED

        self._threads.submit(PendingCall(self._machine.control_plane, perform, lambda: True))

    def _exchange(self, method: str, instance: str, body: bytes) -> tuple[int, bytes]:
        """Status and body of the answer; 0 if there is none, as while the agent is started again."""
        connection = http.client.HTTPConnection(self._machine.control_plane, timeout=HEARTBEAT_TIMEOUT_SECONDS)
        try:
            connection.request(method, INSTANCES_PREFIX + instance, body)
            response = connection.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            connection.close()


class SocketWorkers:
    """All workers of a run."""

    def __init__(self, plan: SoakPlan, host: SerialExecutor, onlooker: Onlooker) -> None:
        """Prepare workers that tell `onlooker` what they run."""
        self._executor = host
        self._threads = CallThreadPool("heartbeats", CallLimits(threads=8 + len(plan.agents), per_address=2))
        world = RealWorld(host, Random(f"workers {plan.seed}"))
        bounds = plan.deployment.bounds
        gangs = Gangs(world, onlooker, bounds.gang_ms / 1_000.0)
        self.workers: list[ModelWorker] = []
        self._servers: list[HttpServer] = []
        for machine, worker_plan in zip(plan.agents, plan.deployment.workers, strict=True):
            worker = ModelWorker(world, worker_plan, False, bounds, onlooker, gangs)
            over_http = AgentOverHttp(host, machine, self._threads, plan.load.late_share, world.random)
            agent = cast(Agent, over_http)
            worker.agent = _always(agent)
            self.workers.append(worker)
            self._servers.append(self._server(machine, worker, plan.load.late_share))

    def start(self) -> None:
        """Listen."""
        for server in self._servers:
            server.bind()
            server.start()

    def crash(self, node: str, back_after_s: float | None) -> None:
        """End the worker beside that agent at once; it comes back as a new instance, or never if that is None."""
        index = next(index for index, worker in enumerate(self.workers) if worker.node == node)
        self._executor.run(lambda: self.workers[index].crash(back_after_s), "crash")
        if back_after_s is None:
            self._servers[index].stop()

    def leave(self, node: str, serves_on_s: float) -> None:
        """Announce the exit of that worker at once; it serves on, ends, and comes back as a new instance."""
        worker = next(worker for worker in self.workers if worker.node == node)
        self._executor.run(lambda: self._leave(worker, serves_on_s), "leave")

    def _leave(self, worker: ModelWorker, serves_on_s: float) -> None:
        agent, life = worker.agent(), worker.life
        if agent is None or not worker.up:
            return

        def end() -> None:
            if worker.life is life and worker.up:
                worker.crash(BACK_SECONDS)

        agent.leave(life.instance, lambda status, body: None)
        self._executor.at(self._executor.now() + serves_on_s, end)

    def _server(self, machine: MachinePlan, worker: ModelWorker, late_share: float) -> HttpServer:
        handler = _handler(worker, late_share)
        exchange = HandlerExchange(self._executor, handler, ANSWER_SECONDS, "worker call")
        options = ServerOptions(f"worker {machine.name}", threads=2, max_threads=MOST_POLLS)
        return HttpServer(machine.ip, WORKER_PORT, exchange, options, logs.get("soak"))


def _always(agent: Agent) -> Callable[[], Agent | None]:
    return lambda: agent


def _handler(worker: ModelWorker, late_share: float) -> Callable[[HttpRequest, Respond], None]:
    """The agent's calls at a worker; `late_share` of them get no answer and are executed late."""

    def handle(request: HttpRequest, respond: Respond) -> None:
        def answer(status: int, content: dict[str, Any]) -> None:
            respond(HttpResponse(status, json.dumps(content).encode()))

        kind = request.path.rpartition("/")[2]
        instance = request.headers.get(INSTANCE_HEADER.lower(), "")
        body = json.loads(request.body)
        if worker.world.random.random() >= late_share:
            worker.take(kind, body, instance, answer)
            return
        late_s = worker.world.random.uniform(*LATE_CALL_SECONDS)
        worker.world.after(late_s, lambda: worker.take_late(kind, body, instance))

    return handle
