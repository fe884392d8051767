"""The stand-ins themselves: what workers, racks, discovery and clients do, as models and on sockets."""

from __future__ import annotations

import contextlib
import json
import socket
from collections import Counter
from collections.abc import Callable

import pytest
from attempts_helper import STANDARD

from pipitledge.decision.interface import State
from pipitledge.emulator import site
from pipitledge.emulator.audit import Audit
from pipitledge.emulator.client import Clients
from pipitledge.emulator.discovery import KEPT, Discovery, row
from pipitledge.emulator.faults import Fault, Faults
from pipitledge.emulator.servers import DiscoveryServer, LoadClients, WorkerServer, listener, read_answer
from pipitledge.emulator.worker import Job, Machine, Rack, Worker
from pipitledge.net.scheduler import Scheduler
from pipitledge.net.stream import Stream
from pipitledge.net.timers import Clock, Timers


def worker(started_ms: float = -1e9, **machine: object) -> Worker:
    made = Worker(Machine("w0", **machine), Rack(7_500.0), Audit(STANDARD), started_ms)  # type: ignore[arg-type]
    made.now = 0.0
    return made


def job(at: Worker, name: str, slots: float = 1.0, work: float = 100.0, key: str = "", **more: object) -> Job:
    at.audit.taken(name, 2 if key else 0, key, at.now, 5_000.0)
    return Job(name, key, slots, work, at.audit.sent(name, "w0", 0, 0, at.now), bool(key), **more)  # type: ignore[arg-type]


def said(at: Worker, now: float) -> list[tuple[str, str]]:
    at.advance_to(now)
    return [(line.job.id, line.state) for line in at.take_said()]


def test_a_worker_starts_jobs_in_order_and_the_head_waits_until_it_fits() -> None:
    w = worker(slots=2, speed=2.0)
    for name, slots in (("a", 1.0), ("b", 2.0), ("c", 1.0)):
        assert w.offer(0.0, job(w, name, slots))
    assert said(w, 0.0) == [("a", "started")]  # c would fit, and is behind b
    assert said(w, 50.0) == [("a", "done"), ("b", "started")]
    assert said(w, 150.0) == [("b", "done"), ("c", "started"), ("c", "done")]
    assert w.due() == float("inf")


def test_a_cold_worker_is_slow_and_its_load_is_counted() -> None:
    w = worker(0.0, slots=4, cold_ms=20_000.0, cold_share=0.1)
    assert (w.warmth(0.0), round(w.warmth(10_000.0), 2), w.warmth(20_000.0)) == (0.1, 0.55, 1.0)
    for count in range(4):
        w.offer(0.0, job(w, f"j{count}", work=600.0))
    assert w.worst_cold == pytest.approx(2_400.0 / (2_000.0 * 4 * 0.1))
    assert said(w, 100.0) == [(f"j{count}", "started") for count in range(4)]


def test_a_rack_drops_a_repeat_only_once_the_first_ran_and_within_the_window() -> None:
    w = worker(slots=1)
    first, waiting = job(w, "a", key="k", work=100.0), job(w, "b", key="k", work=100.0)
    w.offer(0.0, first)
    w.offer(0.0, waiting)
    assert said(w, 100.0) == [("a", "started"), ("a", "done"), ("b", "done")]
    assert w.audit.counts["dropped"] == 1 and w.audit.key_runs["k"] == 1
    w.offer(7_600.0, job(w, "c", key="k"))
    w.advance_to(7_700.0)
    assert w.audit.key_runs["k"] == 2 and "key k ran 2 times" in w.audit.breaches()


def test_cancelled_work_is_dropped_where_it_waits_and_goes_on_unheard_where_it_runs() -> None:
    w = worker(slots=1)
    running, waiting = job(w, "a"), job(w, "b")
    w.offer(0.0, running)
    w.offer(0.0, waiting)
    w.take_said()
    w.cancel(10.0, running)
    w.cancel(10.0, waiting)
    assert said(w, 200.0) == [] and not w.queue and w.audit.counts["ran"] == 1


def test_endings_progress_and_late_reports() -> None:
    w = worker(slots=4, report_ms=1_000.0)
    assert w.report(0.0)["x0"] == 4.0
    for name, ends in (("f", "failed"), ("l", "lost"), ("r", "returned"), ("s", "done")):
        w.offer(0.0, job(w, name, ends=ends, silent=name == "s", work=100.0))
    assert w.report(10.0)["x0"] == 4.0  # still the last one
    assert sorted(said(w, 100.0)) == [
        ("f", "failed"),
        ("f", "started"),
        ("l", "lost"),
        ("l", "started"),
        ("r", "returned"),
    ]
    w.offer(100.0, job(w, "long", work=4_500.0))
    assert w.report(1_100.0)["x0"] == 3.0
    assert said(w, 4_600.0) == [("long", "started"), ("long", "running"), ("long", "running"), ("long", "done")]
    w.offer(4_600.0, job(w, "gone"))
    assert [lost.id for lost in w.restart(4_650.0)] == ["gone"] and w.warmth(4_650.0) == w.machine.cold_share


def test_discovery_tells_changes_and_the_whole_list_after_a_gap() -> None:
    model, w = Discovery(), worker()
    assert model.news(0) is None and model.news(-1) == {"rev": 0, "all": True, "targets": []}
    model.put(row(w, ("127.0.0.1", 9)))
    model.put(row(w, ("127.0.0.1", 9), State.DRAINING))
    news = model.news(1)
    assert news is not None and not news["all"] and [e["state"] for e in news["targets"]] == ["terminating"]
    model.put(row(w, ("127.0.0.1", 9), State.GONE))
    assert model.whole()["targets"] == [] and model.news(7) == model.whole()  # it knows no such revision
    for _ in range(KEPT):
        model.put(row(w, ("127.0.0.1", 9)))
    gap = model.news(1)
    assert gap is not None and gap["all"]


@pytest.mark.parametrize(
    "job_class, heard, again",
    [
        (0, "failed", True),
        (0, "refused", True),
        (1, "failed", False),
        (1, "refused", True),
        (1, "unreached", True),
        (2, "failed", False),
        (2, "refused", True),
        (0, "served", False),
    ],
)
def test_clients_retry_as_their_class_allows(job_class: int, heard: str, again: bool) -> None:
    clients = Clients(STANDARD, [site.kinds()[job_class]], seed=1, retries=1, wait_ms=100.0)
    wanted = clients.arrive(0.0)
    told = clients.again(wanted, heard, 400.0, 1_000.0)
    assert (told is not None) == again
    if told is not None:
        wait, next_try = told
        assert wait == 400.0 and next_try.id != wanted.id and next_try.key == wanted.key
        assert clients.again(next_try, heard, 0.0, 1_500.0) is None  # one retry is all
        assert clients.again(wanted, heard, 0.0, 4_950.0) is None  # its time is over


def test_faults_are_drawn_by_seed_and_script() -> None:
    rates = {Fault.SILENT: 0.3, Fault.FULL: 0.2}
    drawn = [Faults(4, rates).draw("a", 0, "w") for _ in range(2)]
    assert drawn[0] is drawn[1]
    one, two = Faults(4, rates), Faults(4, rates, {("a", 1): Fault.HANG}, {"w9": {Fault.ERROR: 1.0}})
    assert two.draw("a", 1, "w") is Fault.HANG
    one.draw("a", 1, "w")
    assert [one.draw("b", n, "w") for n in range(50)] == [two.draw("b", n, "w") for n in range(50)]
    assert two.draw("b", 0, "w9") is Fault.ERROR
    with pytest.raises(ValueError, match="rates"):
        Faults(rates={Fault.SILENT: 0.7, Fault.FULL: 0.4})


# ---- on sockets


class Bench:
    """A scheduler whose one task is the test's; it ends when that does."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.faults: list[BaseException] = []
        self.scheduler = Scheduler(Timers(self.clock.now), self.faults.append)

    def run(self, task: Callable[[], None]) -> None:
        done: list[bool] = []

        def whole() -> None:
            task()
            done.append(True)

        self.scheduler.spawn(whole)
        while not done and not self.faults:
            self.scheduler.turn(50.0)
        if self.faults:
            raise self.faults[0]

    def dial(self, address: tuple[str, int], within_ms: float = 2_000.0) -> Stream | None:
        stream = Stream(self.scheduler, socket.socket())
        return stream if stream.dial(address, self.clock.now() + within_ms) else None

    def ask(self, address: tuple[str, int], head: str, body: bytes = b"") -> int | None:
        stream = self.dial(address)
        assert stream is not None
        with contextlib.closing(stream):
            stream.write([head.encode() + b"\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % len(body), body], 1e18)
            answer = read_answer(stream, self.clock.now() + 2_000.0)
        return answer.status if answer is not None else None


def test_a_worker_on_sockets_answers_refuses_and_hangs() -> None:
    bench = Bench()
    script = {("full", 0): Fault.FULL, ("reset", 0): Fault.BREAK_AFTER}
    server = WorkerServer(
        bench.scheduler,
        bench.clock,
        ("127.0.0.1", 0),
        worker(),
        STANDARD,
        site.CLASSES,
        Faults(script=script),
        Counter(),
    )

    def task() -> None:
        def post(name: str, path: str = "menu-plan", body: bytes = b'{"work_ms": 5}') -> int | None:
            return bench.ask(server.address, f"POST /{path}/a HTTP/1.1\r\nRequest-Id: {name}", body)

        assert post("a") == 200 and post("full") == 503
        assert post("b", "no-such") == 404 and post("c", body=b"[") == 400
        with pytest.raises(ConnectionResetError):
            post("reset")
        assert bench.ask(server.address, "GET /-/load HTTP/1.1") == 200
        server.refuse(100.0)
        with pytest.raises(ConnectionRefusedError):
            bench.dial(server.address)
        bench.scheduler.wait(bench.clock.now() + 150.0)
        assert post("d") == 200
        server.hang(400.0)
        assert bench.dial(server.address, 100.0) is None

    bench.run(task)
    with pytest.raises(ValueError, match="loopback"):
        listener(("10.0.0.1", 0))


def test_discovery_on_sockets_lists_follows_and_goes_down() -> None:
    bench, told = Bench(), list[str]()
    server = DiscoveryServer(bench.scheduler, bench.clock, ("127.0.0.1", 0), lag_ms=1.0)
    server.told = lambda name, state: told.append(f"{name} {state.value}")
    server.put(row(worker(), ("127.0.0.1", 9)), at_once=True)

    def task() -> None:
        assert bench.ask(server.address, "GET /api/targets HTTP/1.1") == 200
        assert bench.ask(server.address, "GET /api/other HTTP/1.1") == 404
        watch = bench.dial(server.address)
        assert watch is not None
        watch.write([b"GET /api/targets?follow=1 HTTP/1.1\r\nHost: x\r\n\r\n"], 1e18)

        def until(count: int) -> list[dict[str, object]]:
            while (data := bytes(watch.buffer.data[: watch.buffer.end])).count(b'"rev"') < count:
                watch.readable(bench.clock.now() + 2_000.0)
                assert watch.read() != 0
            return [json.loads(part) for part in data.split(b"\r\n") if part.startswith(b"{")]

        assert until(1)[0]["all"] is True
        server.put(row(worker(), ("127.0.0.1", 9), State.DRAINING))
        assert until(2)[1]["all"] is False and told == ["w0 serving", "w0 draining"]
        server.down(60.0)
        watch.buffer.consume(len(watch.buffer))
        while watch.readable(bench.clock.now() + 2_000.0) and watch.read() != 0:
            watch.buffer.consume(len(watch.buffer))
        assert bench.ask(server.address, "GET /api/targets HTTP/1.1") == 503
        bench.scheduler.wait(bench.clock.now() + 80.0)
        assert bench.ask(server.address, "GET /api/targets HTTP/1.1") == 200

    bench.run(task)


def test_a_client_hands_nothing_in_at_a_process_that_died_as_it_connected() -> None:
    clock = Clock()
    scheduler = Scheduler(Timers(clock.now), pytest.fail)
    audit, model = Audit(STANDARD), Clients(STANDARD, site.kinds(), seed=1)
    lives = iter([0, 0, 1])  # before the connection, and after it
    with listener(("127.0.0.1", 0)) as door:
        load = LoadClients(scheduler, clock, model, door.getsockname(), audit, lambda: next(lives))
        wanted = model.arrive(clock.now())
        scheduler.spawn(lambda: load.ask(wanted))
        while not load.heard:
            scheduler.turn(20.0)
    assert load.heard == {(wanted.kind.job_class, "unreached"): 1}
    assert audit.breaches() == [] and not audit.jobs
