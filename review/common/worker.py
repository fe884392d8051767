"""A stand-in for a worker, written from the operators' page of the protocol.

`spec` says how a run goes: a JSON object with `workMs`, and `fail` for a run that ends `failed`. A worker that crashes
loses all that it runs and comes back as a new life, with a new id.
"""

from __future__ import annotations

import contextlib
import http.client
import json
import socket
import threading
import time
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

from system import APP, Machine, Record

HOLD_MAX_S = 6.0
STOP_S = 0.1
HEARTBEAT_S = 1.5


class Run:
    """One run of a task, from its start to its end."""

    def __init__(self, task: str, number: int, spec: dict[str, Any], began: float) -> None:
        """Begin at the steady time `began`."""
        self.task, self.number, self.spec, self.began = task, number, spec, began
        self.stop_at: float | None = None
        self.started = 0.0  # seconds of the record, as is `ended`
        self.ended: float | None = None
        self.how = ""
        self.number_of_end = 0  # in the list of ends; 0: not listed


class Life:
    """One life of a worker: an id, a clock, what runs and what has ended."""

    def __init__(self, worker: Worker, instance: str) -> None:
        """Begin a life with that id."""
        self.worker = worker
        self.instance = instance
        self.began = time.monotonic()
        self.fence = 0
        self.hold_until = 0.0
        self.running: dict[str, Run] = {}
        self.highest: dict[str, int] = {}  # by task: the highest run that stopped or ended here
        self.finished: list[tuple[int, str, int, str, str]] = []
        self.next_end = 1
        self.listed: dict[int, float] = {}  # by number: when an end was first listed in an answer
        self.noted: dict[int, float] = {}  # by number: when `lastSeen` reached it
        self.leaving = False
        self.crashed: float | None = None

    def clock_ms(self) -> int:
        """The life's own steady clock."""
        return int((time.monotonic() - self.began) * 1000) + 100_000

    def end(self, run: Run, how: str, listed: bool = True) -> None:
        """End a run; called under the worker's lock."""
        run.ended = self.worker.record.add(
            "run_ended", worker=self.worker.name, life=self.instance, task=run.task, run=run.number, how=how
        )
        run.how = how
        del self.running[run.task]
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        if listed:
            run.number_of_end = self.next_end
            self.finished.append((self.next_end, run.task, run.number, how, ""))
            self.next_end += 1
        self.worker.changed.notify_all()

    def advance(self) -> None:
        """Carry on what runs: ends by themselves, stops, and lapsed holds; called under the worker's lock."""
        now = time.monotonic()
        for run in list(self.running.values()):
            if run.stop_at is not None and now >= run.stop_at:
                self.end(run, "stopped")
            elif now >= self.hold_until:
                self.end(run, "lapsed")
            elif now - run.began >= run.spec.get("workMs", 1000) / 1000.0:
                self.end(run, "failed" if run.spec.get("fail") else "done")


class Worker:
    """One worker and its lives, one after the other."""

    def __init__(self, machine: Machine, name: str, record: Record, capacity: dict[str, int]) -> None:
        """Stand beside the agent of `machine`; nothing is up before `begin`."""
        self.machine, self.name, self.record, self.capacity = machine, name, record, capacity
        self.service = machine.service
        self.rack = f"r{name[-1]}-1"
        self.lock = threading.RLock()
        self.changed = threading.Condition(self.lock)
        self.life: Life | None = None
        self.runs: list[tuple[str, Run]] = []  # of all lives, with the id of the life
        self.lives: list[Life] = []
        self.before_start: Callable[[dict[str, Any]], float | None] = lambda _body: None
        self._server: _Server | None = None
        self._lives = 0
        self._sequence = 0  # rises with each call, over all lives
        self._closing = False
        threading.Thread(target=self._tick, daemon=True).start()

    # ---- lives

    def begin(self, beat: bool = True, late_s: float = 0.0) -> Life:
        """Begin a life; with `beat` its heartbeats are sent, the first of them `late_s` on its way."""
        with self.lock:
            self._lives += 1
            life = self.life = Life(self, f"i-{self.name}-{self._lives}")
            self.lives.append(life)
            self._server = _Server((self.machine.ip, APP), self)
            threading.Thread(target=self._server.serve_forever, args=(0.02,), daemon=True).start()
            self.record.add("life_began", worker=self.name, life=life.instance)
        if beat:
            threading.Thread(target=self._beat, args=(life, late_s), daemon=True).start()
        return life

    def leave(self) -> int:
        """Say by DELETE that the present life ends, without `draining` before; it serves on until `crash`."""
        life = self.life
        assert life is not None
        life.leaving = True
        self.record.add("leave_sent", worker=self.name, life=life.instance)
        status = self.call_agent("DELETE", life.instance)
        self.record.add("leave_answer", worker=self.name, life=life.instance, status=status)
        return status

    def crash(self) -> None:
        """End the present life without a word: all that it runs dies, its address refuses."""
        with self.lock:
            life, self.life = self.life, None
            assert life is not None
            for run in list(life.running.values()):
                life.end(run, "crashed", listed=False)
            life.crashed = self.record.add("life_crashed", worker=self.name, life=life.instance)
            server, self._server = self._server, None
        assert server is not None
        server.stop()

    def close(self) -> None:
        """Stop for good."""
        self._closing = True
        with self.lock:
            up = self.life is not None
        if up:
            self.crash()

    def _tick(self) -> None:
        while not self._closing:
            with self.lock:
                if self.life is not None:
                    self.life.advance()
            time.sleep(0.01)

    # ---- heartbeats

    def _beat(self, life: Life, late_s: float) -> None:
        """Send a heartbeat now and then about every `heartbeatMs`; one without an answer is followed by another."""
        while self.life is life and not self._closing and not life.leaving:
            started = time.monotonic()
            with self.lock:
                self._sequence += 1
                message = self._message(life)
            if late_s > 0.0:
                threading.Thread(target=self._deliver, args=(life, message, late_s), daemon=True).start()
                late_s = 0.0
                acknowledged = False
            else:
                acknowledged = self._deliver(life, message, 0.0)
            wait = HEARTBEAT_S if acknowledged else 1.0
            time.sleep(max(0.05, wait - (time.monotonic() - started)))

    def _message(self, life: Life) -> dict[str, Any]:
        return {
            "service": self.service,
            "address": f"{self.machine.ip}:{APP}",
            "zone": self.machine.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "capacity": self.capacity,
            "labels": ["a", self.rack],
            "clockMs": life.clock_ms(),
            "sequence": self._sequence,
        }

    def _deliver(self, life: Life, message: dict[str, Any], late_s: float) -> bool:
        """Hand one heartbeat to the agent, `late_s` after it was sent; return whether it was acknowledged in time."""
        self.record.add("beat_sent", worker=self.name, life=life.instance, sequence=message["sequence"])
        time.sleep(late_s)
        if self._closing:
            return False
        status = self.call_agent("PUT", life.instance, message)
        self.record.add(
            "beat_arrived",
            worker=self.name,
            life=life.instance,
            sequence=message["sequence"],
            late_s=late_s,
            status=status,
        )
        return 200 <= status < 300 and late_s < 1.0

    def call_agent(self, method: str, instance: str, body: dict[str, Any] | None = None) -> int:
        """Call the agent about a life; 0 if there was no answer within a second."""
        connection = http.client.HTTPConnection(*self.machine.control, timeout=1.0)
        try:
            content = None if body is None else json.dumps(body)
            connection.request(
                method, f"/pipitledge/instances/{instance}", content, {"Content-Type": "application/json"}
            )
            response = connection.getresponse()
            response.read()
            return response.status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()

    # ---- calls of the agent

    def take(self, path: str, body: dict[str, Any], expected: str) -> tuple[int, dict[str, Any]]:
        """Carry out one call; returns status and body."""
        life = self.life
        if life is None or (expected and expected != life.instance):
            return 421, {}
        if path == "/pipitledge/run-start":
            return self._start(life, body)
        with self.lock:
            if self.life is not life:
                return 421, {}
            if body.get("fenceToken", 0) < life.fence:
                return 409, {"clockMs": life.clock_ms(), "reason": "fence"}
            life.fence = max(life.fence, body.get("fenceToken", 0))
            if path == "/pipitledge/run-stop":
                return self._stop(life, body)
            return self._hold(life, body)

    def _extend(self, life: Life, body: dict[str, Any]) -> bool:
        """Take a deadline; return whether it lies ahead."""
        ahead = (body["deadlineMs"] - life.clock_ms()) / 1000.0
        if ahead <= 0.0:
            return False
        life.hold_until = max(life.hold_until, time.monotonic() + min(ahead, HOLD_MAX_S))
        return True

    def _start(self, life: Life, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, number = body["task"], body["runId"]
        self.record.add("start_arrived", worker=self.name, life=life.instance, task=task, run=number)
        delay = self.before_start(body)
        if delay:
            time.sleep(delay)
        with self.lock:
            if self.life is not life:
                return 421, {}
            if body.get("fenceToken", 0) < life.fence:
                return self._conflict(life, task, number, "fence")
            life.fence = max(life.fence, body.get("fenceToken", 0))
            if not self._extend(life, body):
                return self._conflict(life, task, number, "late")
            present = life.running.get(task)
            if present is not None and present.number == number:
                return 200, {"clockMs": life.clock_ms()}
            if present is not None or number <= life.highest.get(task, 0):
                return self._conflict(life, task, number, "old")
            run = Run(task, number, json.loads(body["spec"]), time.monotonic())
            life.running[task] = run
            self.runs.append((life.instance, run))
            run.started = self.record.add("run_started", worker=self.name, life=life.instance, task=task, run=number)
            return 200, {"clockMs": life.clock_ms()}

    def _conflict(self, life: Life, task: str, number: int, reason: str) -> tuple[int, dict[str, Any]]:
        self.record.add("start_refused", worker=self.name, life=life.instance, task=task, run=number, reason=reason)
        return 409, {"clockMs": life.clock_ms(), "reason": reason}

    def _stop(self, life: Life, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, number = body["task"], body["runId"]
        self.record.add("stop_arrived", worker=self.name, life=life.instance, task=task, run=number)
        run = life.running.get(task)
        if run is not None and run.number <= number:
            run.stop_at = min(run.stop_at or 1e18, time.monotonic() + STOP_S)
        else:
            life.highest[task] = max(life.highest.get(task, 0), number)
        return 200, {"clockMs": life.clock_ms()}

    def _hold(self, life: Life, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        seen = body.get("lastSeen", 0)
        if life.finished and life.finished[0][0] <= seen:
            taken = [end for end in life.finished if end[0] <= seen]
            life.finished = [end for end in life.finished if end[0] > seen]
            for end in taken:
                life.noted[end[0]] = self.record.add(
                    "end_taken_note", worker=self.name, life=life.instance, task=end[1], run=end[2], how=end[3]
                )
        if body.get("deadlineMs"):
            self._extend(life, body)
        until = time.monotonic() + min(2000, body.get("waitMs", 0)) / 1000.0
        while not life.finished and self.life is life and time.monotonic() < until:
            self.changed.wait(max(0.001, until - time.monotonic()))
        if self.life is not life:
            return 421, {}
        for end in life.finished[:500]:
            if end[0] not in life.listed:
                life.listed[end[0]] = self.record.add(
                    "end_listed", worker=self.name, life=life.instance, task=end[1], run=end[2], how=end[3]
                )
        running = [[run.task, run.number, "", self._percent(run)] for run in life.running.values()]
        return 200, {"clockMs": life.clock_ms(), "running": running, "finished": [list(e) for e in life.finished[:500]]}

    @staticmethod
    def _percent(run: Run) -> int:
        return int(min(99.0, (time.monotonic() - run.began) * 100_000.0 / run.spec.get("workMs", 1000)))


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def __init__(self, address: tuple[str, int], worker: Worker) -> None:
        self.worker = worker
        self._open: set[socket.socket] = set()
        super().__init__(address, _Handler)

    def process_request(self, request: Any, client_address: Any) -> None:
        self._open.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request: Any) -> None:
        self._open.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request: Any, client_address: Any) -> None:
        """A connection that broke is nothing to tell of."""

    def stop(self) -> None:
        """Close the listening socket and all connections, as the end of a process does."""
        self.shutdown()
        self.server_close()
        for connection in list(self._open):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    server: _Server

    def do_GET(self) -> None:
        self._answer(200, {})

    def do_POST(self) -> None:
        body = json.loads(self.rfile.read(int(self.headers.get("Content-Length", "0"))) or b"{}")
        status, content = self.server.worker.take(self.path, body, self.headers.get("X-Expect-Instance", ""))
        self._answer(status, content)

    def _answer(self, status: int, content: dict[str, Any]) -> None:
        body = json.dumps(content).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format: str, *args: Any) -> None:
        """Nothing is logged."""


def overlaps(workers: list[Worker], record: Record) -> list[dict[str, Any]]:
    """Return the pairs of runs of one task that went on at once, on lives that were up."""
    found = []
    spans = []
    now = record.now()
    base = time.monotonic() - now
    for worker in workers:
        for life, run in worker.runs:
            spans.append((run.task, run.began - base, now if run.ended is None else run.ended, worker.name, life, run))
    for index, first in enumerate(spans):
        for second in spans[index + 1 :]:
            start, end = max(first[1], second[1]), min(first[2], second[2])
            if first[0] == second[0] and end > start:
                found.append(
                    {
                        "task": first[0],
                        "runs": [[s[3], s[4], s[5].number] for s in (first, second)],
                        "from_s": round(start, 3),
                        "for_s": round(end - start, 3),
                    }
                )
    return found
