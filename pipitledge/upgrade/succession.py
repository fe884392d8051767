"""The driver of an upgrade: the socket in $TMPDIR, what travels over it, and who the other processes are."""

from __future__ import annotations

import array
import contextlib
import os
import socket
import struct
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from pipitledge.net.scheduler import WRITE, Scheduler, Task, Wake
from pipitledge.net.timers import Clock
from pipitledge.node.config import Address
from pipitledge.node.console import Call, Verb
from pipitledge.node.counters import Counters, Log
from pipitledge.upgrade.handover import FORM, MOST, BadHandover, Busy, ClaimSide, Estate, What, message, read_message

CLAIM_MS = 2_000.0  # for the elder to tell all
TRIES, AGAIN_S = 5, 0.05
FLUSH_S = 0.3
CALL_MS = 700.0  # for the other process to do what an operator asks; the caller is owed a line within 1 s
_FD = struct.calcsize("i")


def _place(folder: str, listen: Address) -> tuple[str, str]:
    return folder, "pipitledge-{}-{}.sock".format(*listen)


class _At:
    """A path short enough for a Unix socket, whatever the folder's length: by way of its descriptor."""

    def __init__(self, folder: str) -> None:
        self.folder = folder

    def __enter__(self) -> _At:
        self.fd = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        return self

    def __exit__(self, *_: object) -> None:
        os.close(self.fd)

    def __call__(self, name: str) -> str:
        return f"/proc/self/fd/{self.fd}/{name}"


def _receive(sock: socket.socket) -> tuple[bytes, int | None]:
    """One message and the descriptor that came along, if one did; the others, if there are any, are closed."""
    data, extra, flags, _ = sock.recvmsg(MOST, socket.CMSG_SPACE(4 * _FD))
    fds = array.array("i")
    for level, kind, body in extra:
        if level == socket.SOL_SOCKET and kind == socket.SCM_RIGHTS:
            fds.frombytes(body[: len(body) - len(body) % fds.itemsize])
    for fd in fds[1:]:
        os.close(fd)
    if flags & socket.MSG_TRUNC:
        for fd in fds[:1]:
            os.close(fd)
        raise BadHandover("message too long")
    return data, fds[0] if fds else None


@dataclass(slots=True)
class Claim:
    """What an heir has got: the connection to its elder, the clients' listener, the estate."""

    sock: socket.socket
    listener: socket.socket
    estate: Estate


def claim(folder: str, listen: Address, log: Log) -> Claim | None:
    """Claim the place of the process that runs at these addresses; None if there is none, or it says nothing.

    This blocks: the node does not serve yet. No file, or one that nobody listens at, means a start from nothing.
    """
    for _ in range(TRIES):
        try:
            return _claim(folder, listen)
        except (FileNotFoundError, ConnectionRefusedError):
            return None  # nobody ran, or its file is stale
        except (ConnectionResetError, BrokenPipeError) as fault:  # it ended, or the door is another's by now
            log("upgrade", refused=f"{type(fault).__name__}: {fault}")
            time.sleep(AGAIN_S)
        except Busy:
            raise
        except (BadHandover, OSError) as fault:
            log("upgrade", refused=f"{type(fault).__name__}: {fault}")
            return None
    return None


def _claim(folder: str, listen: Address) -> Claim:
    folder, name = _place(folder, listen)
    with contextlib.ExitStack() as opened:
        sock = opened.enter_context(socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET))
        sock.settimeout(CLAIM_MS / 1000.0)
        with _At(folder) as at:
            sock.connect(at(name))
        sock.send(message(What.CLAIM, form=FORM, pid=os.getpid()))
        side, estate, listener = ClaimSide(), None, None
        while estate is None:
            data, fd = _receive(sock)
            if fd is not None:
                listener = opened.enter_context(socket.socket(fileno=fd))
            if not data:
                raise ConnectionResetError("the elder ended")
            estate = side.receive(data)
        if listener is None:
            raise BadHandover("no listener came along")
        sock.setblocking(False)
        listener.setblocking(False)
        opened.pop_all()
        return Claim(sock, listener, estate)


class Partner:
    """The connection to another process of this node: a task that reads and one that writes."""

    def __init__(self, succession: Succession, sock: socket.socket) -> None:
        """Take over a connected socket; it closes at the first fault, as the other side's death does it."""
        self.succession, self.sock, self.is_open = succession, sock, True
        self.queue: deque[tuple[bytes, int | None]] = deque()
        self.writer: Task | None = None
        self.answers: dict[int, tuple[Task, list[str | None]]] = {}  # calls that wait for the other's word
        self.calls = 0
        self.reader = succession.scheduler.spawn(self._read, urgent=True)

    def send(self, data: bytes, fd: int | None = None) -> None:
        """Send one message, and a descriptor along, which is closed here then. Order is kept."""
        if not self.is_open:
            self._back(fd)
            return
        self.queue.append((data, fd))
        if self.writer is None:
            self.writer = self.succession.scheduler.spawn(self._write, urgent=True)

    def _back(self, fd: int | None) -> None:
        """A client's connection that can't be passed is ours again."""
        if fd is not None:
            self.succession.adopt(socket.socket(fileno=fd), True)

    def _write(self) -> None:
        try:
            while self.queue and self.is_open:
                data, fd = self.queue[0]
                rights = [] if fd is None else [(socket.SOL_SOCKET, socket.SCM_RIGHTS, struct.pack("i", fd))]
                try:
                    self.sock.sendmsg([data], rights)
                except BlockingIOError:
                    if (
                        self.succession.scheduler.wait(
                            self.succession.clock.now() + CLAIM_MS, self.sock.fileno(), WRITE
                        )
                        is Wake.TIMEOUT
                    ):
                        raise BadHandover("the other process does not read") from None
                    continue
                self.queue.popleft()
                if fd is not None:
                    os.close(fd)
        except (OSError, BadHandover) as fault:
            self.close(f"{type(fault).__name__}: {fault}")
        finally:
            self.writer = None

    def _read(self) -> None:
        why = "ended"
        try:
            while self.is_open:
                self.succession.scheduler.wait(fd=self.sock.fileno())
                if not self.is_open:
                    return
                try:
                    data, fd = _receive(self.sock)
                except BlockingIOError:
                    continue
                if not data:
                    return
                self.succession.heard(self, *read_message(data), fd)
        except (OSError, BadHandover) as fault:
            why = f"{type(fault).__name__}: {fault}"
        finally:
            self.close(why)

    def flush(self) -> None:
        """Send what still waits, as this process ends: the last clients' connections may be among it."""
        if self.is_open:
            self.sock.settimeout(FLUSH_S)
            self._write()

    def ask(self, call: Call) -> str | None:
        """Have a call done there too; None is yes. A process that has ended has nothing left to do."""
        self.calls += 1
        number, answer = self.calls, list[str | None]()
        scheduler = self.succession.scheduler
        self.answers[number] = scheduler.current(), answer
        self.send(message(What.CALL, number=number, verb=call.verb.value.decode(), id=call.worker))
        until = self.succession.clock.now() + CALL_MS
        while self.is_open and not answer:
            if scheduler.wait(until) is Wake.TIMEOUT:
                break
        del self.answers[number]
        return answer[0] if answer else ("the other process says nothing" if self.is_open else None)

    def answered(self, number: object, no: object) -> None:
        """Take the other's word on a call."""
        if isinstance(number, int) and number in self.answers:
            task, answer = self.answers[number]
            answer.append(None if no is None else str(no))
            task.wake()

    def close(self, why: str) -> None:
        """End the connection, once; whoever waits for a word hears that none will come."""
        if not self.is_open:
            return
        self.is_open = False
        self.succession.scheduler.forget(self.sock.fileno())
        self.sock.close()
        self.succession.parted(self, why)
        queue, self.queue = self.queue, deque()
        for _, fd in queue:
            self._back(fd)
        for task, _ in self.answers.values():
            task.wake()
        self.reader.wake()
        if self.writer is not None:
            self.writer.wake()


class Succession:
    """This process among those of its node. What is to be done at each step is the node's, set as callables."""

    def __init__(
        self, scheduler: Scheduler, clock: Clock, counters: Counters, log: Log, folder: str, listen: Address
    ) -> None:
        """Know the place; without a folder there is no succession."""
        self.scheduler, self.clock, self.counters, self.log = scheduler, clock, counters, log
        self.folder, self.listen = folder, listen
        self.elder: Partner | None = None
        self.heir: Partner | None = None
        self._door: socket.socket | None = None
        self._doorman: Task | None = None
        self.hand_over: Callable[[], tuple[Estate, int]] = lambda: (Estate(), -1)  # a listener's descriptor with it
        self.take_back: Callable[[], None] = lambda: None
        self.alone: Callable[[], None] = lambda: None  # the elder has ended
        self.adopt: Callable[[socket.socket, bool], None] = lambda sock, used: sock.close()
        self.over: Callable[[list[str]], None] = lambda ids: None
        self.do: Callable[[Call, Partner], str | None] = lambda call, source: "not ready"

    @property
    def is_shared(self) -> bool:
        """Whether another process of this node runs now."""
        return self.elder is not None or self.heir is not None

    # ---- the heir's side

    def follow(self, sock: socket.socket) -> None:
        """Go on from an elder whose place was claimed."""
        self.elder = Partner(self, sock)
        self.counters.add("upgrade.claimed")

    # ---- the elder's side

    def offer(self) -> None:
        """Wait for an heir at the place of all processes of this node; a file that is there is replaced."""
        if not self.folder or self._door is not None:
            return
        folder, name = _place(self.folder, self.listen)
        try:  # a process may be refused Unix sockets: it serves on, without upgrades in place
            door = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        except OSError as fault:
            self.log("upgrade", impossible=fault)
            return
        try:
            with _At(folder) as at, contextlib.suppress(FileNotFoundError):
                new = f"{name}.{os.getpid()}"
                with contextlib.suppress(FileNotFoundError):
                    os.unlink(at(new))
                door.bind(at(new))
                door.listen(4)
                os.rename(at(new), at(name))
        except OSError as fault:
            self.log("upgrade", impossible=fault)
            door.close()
            return
        door.setblocking(False)
        self._door = door
        self._doorman = self.scheduler.spawn(lambda: self._open(door), urgent=True)

    def _open(self, door: socket.socket) -> None:
        while self._door is door:
            self.scheduler.wait(fd=door.fileno())
            if self._door is not door:
                return
            try:
                sock, _ = door.accept()
            except OSError:
                continue
            sock.setblocking(False)
            self.scheduler.spawn(lambda sock=sock: self._claimed(sock), urgent=True)  # type: ignore[misc]

    def _shut(self) -> None:
        door, self._door = self._door, None
        if door is not None:
            self.scheduler.forget(door.fileno())
            door.close()
            if self._doorman is not None:
                self._doorman.wake()

    def _claimed(self, sock: socket.socket) -> None:
        """Hear who came; give the place to an heir that can take it."""
        try:
            if self.scheduler.wait(self.clock.now() + CLAIM_MS, sock.fileno()) is Wake.TIMEOUT:
                raise BadHandover("silent")
            data, _ = _receive(sock)
            what, fields = read_message(data)
            if what is not What.CLAIM or fields.get("form") != FORM:
                raise BadHandover(f"form {fields.get('form')!r}, this one speaks {FORM}")
            if self.heir is not None:
                raise BadHandover("an upgrade is under way")
        except (OSError, BadHandover) as fault:
            self.log("upgrade", turned_away=fault)
            with contextlib.suppress(OSError):
                sock.send(message(What.REFUSED, busy=self.heir is not None, why=str(fault)))
            self.scheduler.forget(sock.fileno())
            sock.close()
            return
        self.scheduler.forget(sock.fileno())
        self.heir = heir = Partner(self, sock)
        self.counters.add("upgrade.handed-over")
        self.log("upgrade", heir=fields.get("pid"))
        estate, listener = self.hand_over()
        for part in estate.messages():
            heir.send(part)
        heir.send(message(What.YOURS), os.dup(listener))

    def pass_on(self, sock: socket.socket, used: bool) -> None:
        """Pass a client's connection with nothing under way; it is a copy that travels, the caller closes its own."""
        if self.heir is None:
            self.adopt(sock.dup(), used)
            return
        self.counters.add("upgrade.passed-on")
        self.heir.send(message(What.CLIENT, used=used), os.dup(sock.fileno()))

    def tell_over(self, ids: list[str]) -> None:
        """Tell the heir of queries that are no longer open here."""
        if self.heir is not None and ids:
            self.heir.send(message(What.OVER, ids=ids))

    # ---- both

    def flush(self) -> None:
        """Let the heir have all that waits for it; called once the scheduler has ended."""
        if self.heir is not None:
            self.heir.flush()

    def ask_others(self, call: Call, source: Partner | None = None) -> str | None:
        """Have a call done by every other process but the one it came from; None is yes."""
        for partner in (self.elder, self.heir):
            if partner is not None and partner is not source and (no := partner.ask(call)) is not None:
                return no
        return None

    def heard(self, partner: Partner, what: What, fields: dict[str, Any], fd: int | None) -> None:
        """Take one message of another process."""
        if what is What.CLIENT and partner is self.elder and fd is not None:
            self.adopt(socket.socket(fileno=fd), bool(fields.get("used")))
            return
        if fd is not None:
            os.close(fd)
        if what is What.OVER and partner is self.elder:
            self.over([str(name) for name in fields.get("ids") or []])
        elif what is What.DONE:
            partner.answered(fields.get("number"), fields.get("no"))
        elif what is What.CALL:
            try:
                call = Call(Verb(str(fields.get("verb")).encode()), str(fields.get("id", "")))
            except ValueError as fault:
                raise BadHandover(f"unknown call: {fault}") from fault
            number = fields.get("number")
            # In a task of its own: it may wait for a third process, and this one's word may be behind it.
            self.scheduler.spawn(
                lambda: partner.send(message(What.DONE, number=number, no=self.do(call, partner))), urgent=True
            )
        else:
            raise BadHandover(f"{what.value} out of turn")

    def parted(self, partner: Partner, why: str) -> None:
        """Go on without a process that has ended."""
        self.log("upgrade", ended="elder" if partner is self.elder else "heir", why=why)
        if partner is self.elder:
            self.elder = None
            self.alone()
        elif partner is self.heir:
            self.heir = None
            self.counters.add("upgrade.taken-back")
            self._shut()  # the heir's file may have taken its place
            self.offer()
            self.take_back()
