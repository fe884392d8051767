"""Outgoing HTTP calls by `urllib3`, over kept connections, each with one outcome under the host's lock."""

from __future__ import annotations

import socket
from collections import OrderedDict
from collections.abc import Callable, Mapping
from threading import Lock

import urllib3
from msgspec import Struct
from urllib3.connectionpool import HTTPConnectionPool
from urllib3.util import SKIP_HEADER

from pipitledge.runtime.call_threads import CallLimits, CallOutcome, CallThreadPool, PendingCall
from pipitledge.runtime.executor import SerialExecutor
from pipitledge.runtime.message_body import ACCEPT_ENCODING, DEFLATE
from pipitledge.runtime.timers import ScheduledAction

CONNECT_SECONDS = 0.5
USER_TIMEOUT_MS = 1500  # bytes unacknowledged for so long end a connection
MAX_POOLED_ADDRESSES = 512  # with kept connections
CALL_ID_HEADER = "X-Call-Id"
OK = 200
PLAIN_HEADERS = {"User-Agent": SKIP_HEADER, "Accept-Encoding": SKIP_HEADER}
SOCKET_OPTIONS: list[tuple[int, int, int | bytes]] = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
]


class CallResult(Struct, frozen=True):
    """How a call ended; `status` 0: no answer came, and the call may still be carried out."""

    status: int = 0
    body: bytes = b""
    accepts_deflate: bool = False  # the peer says that it understands deflated requests
    refused: bool = False  # nothing listens at the address: no connection was made
    reason: str = ""  # why there is no answer


class OutgoingCall(Struct, frozen=True):
    """One POST."""

    address: str
    path: str
    body: bytes
    timeout: float  # seconds, from being asked for to the outcome
    headers: Mapping[str, str] = {}
    call_id: str = ""  # an answer has to carry it, too; empty: the peer knows nothing of such names


OnResult = Callable[[CallResult], None]

TIMED_OUT = CallResult(reason="timeout")
BUSY = CallResult(reason="too many calls under way")


class _CallInFlight:
    """A call with the one who waits for its outcome."""

    __slots__ = ("_executor", "_on_result", "_timer", "call")

    def __init__(self, executor: SerialExecutor, call: OutgoingCall, on_result: OnResult) -> None:
        self._executor = executor
        self._on_result: OnResult | None = on_result
        self.call = call
        self._timer: ScheduledAction = executor.at(executor.now() + call.timeout, lambda: self.finish(TIMED_OUT))

    def is_awaited(self) -> bool:
        """Whether the outcome is still open."""
        return self._on_result is not None

    def finish(self, result: CallResult) -> None:
        """Tell the outcome, once; called under the host's lock."""
        on_result, self._on_result = self._on_result, None
        if on_result is not None:
            self._timer.cancel()
            on_result(result)


class HttpClient:
    """Makes calls on threads of its own."""

    def __init__(self, executor: SerialExecutor, name: str, limits: CallLimits | None = None) -> None:
        """Tell outcomes through `host`."""
        self._executor = executor
        self._name = name
        self._limits = limits or CallLimits()
        self._threads = CallThreadPool(name, self._limits)
        self._pools: OrderedDict[str, HTTPConnectionPool] = OrderedDict()
        self._pools_lock = Lock()

    def post(self, call: OutgoingCall, on_result: OnResult) -> None:
        """Make the call; `on_result` is told once, later, under the host's lock."""
        in_flight = _CallInFlight(self._executor, call, on_result)
        pending = PendingCall(call.address, lambda: self._perform(in_flight), in_flight.is_awaited)
        if not self._threads.submit(pending):
            self._executor.at(self._executor.now(), lambda: in_flight.finish(BUSY))

    def close(self) -> None:
        """Close kept connections."""
        self._threads.close()
        with self._pools_lock:
            for pool in self._pools.values():
                pool.close()
            self._pools.clear()

    def _perform(self, in_flight: _CallInFlight) -> CallOutcome:
        """Make the call on this thread, and tell its outcome."""
        call = in_flight.call
        outcome = CallOutcome.REACHED
        try:
            result = self._request(call)
        except urllib3.exceptions.NewConnectionError as error:
            result = CallResult(refused=isinstance(error.__cause__, ConnectionRefusedError), reason=str(error))
        except urllib3.exceptions.ConnectTimeoutError as error:
            outcome = CallOutcome.UNREACHABLE
            result = CallResult(reason=str(error))
        except Exception as error:
            result = CallResult(reason=repr(error))
        self._executor.run(lambda: in_flight.finish(result), f"reply to {call.path}", call.address)
        return outcome

    def _request(self, call: OutgoingCall) -> CallResult:
        """Send the call and read the answer whole."""
        id_headers = {CALL_ID_HEADER: call.call_id} if call.call_id else {}
        response = self._pool(call.address).urlopen(
            "POST",
            call.path,
            body=call.body,
            headers={**PLAIN_HEADERS, **call.headers, **id_headers},
            retries=False,
            redirect=False,
            assert_same_host=False,
            timeout=urllib3.Timeout(connect=min(CONNECT_SECONDS, call.timeout), read=call.timeout),
        )
        answered = response.headers.get(CALL_ID_HEADER, "")
        if call.call_id and answered not in ("", call.call_id):
            self._discard_pool(call.address)  # what its connections carry can't be trusted any more
            return CallResult(reason=f"answer to another call, {answered}")
        if call.call_id and not answered and response.status == OK:
            return CallResult(reason="answer that names no call")
        accepts_deflate = response.headers.get(ACCEPT_ENCODING, "") == DEFLATE
        return CallResult(response.status, response.data, accepts_deflate)

    def _pool(self, address: str) -> HTTPConnectionPool:
        """The kept connections to that address."""
        with self._pools_lock:
            pool = self._pools.get(address)
            if pool is None:
                pool = self._pools[address] = self._new_pool(address)
            self._pools.move_to_end(address)
            if len(self._pools) > MAX_POOLED_ADDRESSES:
                self._pools.popitem(last=False)[1].close()
        return pool

    def _discard_pool(self, address: str) -> None:
        """Close the kept connections to that address; the next call makes others."""
        with self._pools_lock:
            pool = self._pools.pop(address, None)
        if pool is not None:
            pool.close()

    def _new_pool(self, address: str) -> HTTPConnectionPool:
        """A pool that keeps as many connections as calls may be under way."""
        ip, _, port = address.rpartition(":")
        return HTTPConnectionPool(
            ip, int(port), maxsize=self._limits.per_address, block=False, socket_options=SOCKET_OPTIONS
        )
