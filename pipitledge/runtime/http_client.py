"""An HTTP client on `urllib3` with connection pools; each call reports one result under the executor's lock."""

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
USER_TIMEOUT_MS = 1500  # a connection ends when sent bytes stay unacknowledged for this long
MAX_POOLED_ADDRESSES = 512  # addresses that have a connection pool; the least recently used pool is closed
CALL_ID_HEADER = "X-Call-Id"
OK = 200
PLAIN_HEADERS = {"User-Agent": SKIP_HEADER, "Accept-Encoding": SKIP_HEADER}
SOCKET_OPTIONS: list[tuple[int, int, int | bytes]] = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
]


class CallResult(Struct, frozen=True):
    """The result of a call; `status` 0 means that no answer came, and the peer may still carry out the request."""

    status: int = 0
    body: bytes = b""
    accepts_deflate: bool = False  # the peer accepts deflated requests
    refused: bool = False  # the connection was refused: no process listens at the address
    reason: str = ""  # why there is no answer


class OutgoingCall(Struct, frozen=True):
    """One POST request to make."""

    address: str
    path: str
    body: bytes
    timeout: float  # seconds, from submission to result
    headers: Mapping[str, str] = {}
    call_id: str = ""  # the answer must repeat it; empty: the peer does not support call ids


OnResult = Callable[[CallResult], None]

TIMED_OUT = CallResult(reason="timeout")
BUSY = CallResult(reason="too many calls in progress")


class _CallInFlight:
    """A submitted call, the callback for its result, and its timeout."""

    __slots__ = ("_executor", "_on_result", "_timer", "call")

    def __init__(self, executor: SerialExecutor, call: OutgoingCall, on_result: OnResult) -> None:
        self._executor = executor
        self._on_result: OnResult | None = on_result
        self.call = call
        self._timer: ScheduledAction = executor.at(executor.now() + call.timeout, lambda: self.finish(TIMED_OUT))

    def is_awaited(self) -> bool:
        """Return whether the call has no result yet."""
        return self._on_result is not None

    def finish(self, result: CallResult) -> None:
        """Report the result unless one was reported before; called under the executor's lock."""
        on_result, self._on_result = self._on_result, None
        if on_result is not None:
            self._timer.cancel()
            on_result(result)


class HttpClient:
    """Makes HTTP calls on its own thread pool."""

    def __init__(self, executor: SerialExecutor, name: str, limits: CallLimits | None = None) -> None:
        """Report results through `executor`; `name` is the prefix of the thread names."""
        self._executor = executor
        self._name = name
        self._limits = limits or CallLimits()
        self._threads = CallThreadPool(name, self._limits)
        self._pools: OrderedDict[str, HTTPConnectionPool] = OrderedDict()
        self._pools_lock = Lock()

    def post(self, call: OutgoingCall, on_result: OnResult) -> None:
        """Submit the call; `on_result` is called once, later, under the executor's lock."""
        in_flight = _CallInFlight(self._executor, call, on_result)
        pending = PendingCall(call.address, lambda: self._perform(in_flight), in_flight.is_awaited)
        if not self._threads.submit(pending):
            self._executor.at(self._executor.now(), lambda: in_flight.finish(BUSY))

    def close(self) -> None:
        """Close the connection pools and let idle threads end."""
        self._threads.close()
        with self._pools_lock:
            for pool in self._pools.values():
                pool.close()
            self._pools.clear()

    def _perform(self, in_flight: _CallInFlight) -> CallOutcome:
        """Make the call on this thread and report its result."""
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
        """Send the request and read the complete response."""
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
        answer_id = response.headers.get(CALL_ID_HEADER, "")
        if call.call_id and answer_id not in ("", call.call_id):
            self._discard_pool(call.address)  # its connections may deliver answers to other calls
            return CallResult(reason=f"answer to another call: {answer_id}")
        if call.call_id and not answer_id and response.status == OK:
            return CallResult(reason="answer without a call id")
        accepts_deflate = response.headers.get(ACCEPT_ENCODING, "") == DEFLATE
        return CallResult(response.status, response.data, accepts_deflate)

    def _pool(self, address: str) -> HTTPConnectionPool:
        """Return the connection pool of the address, creating it if needed."""
        with self._pools_lock:
            pool = self._pools.get(address)
            if pool is None:
                pool = self._pools[address] = self._new_pool(address)
            self._pools.move_to_end(address)
            if len(self._pools) > MAX_POOLED_ADDRESSES:
                self._pools.popitem(last=False)[1].close()
        return pool

    def _discard_pool(self, address: str) -> None:
        """Close the connection pool of the address; the next call creates a new one."""
        with self._pools_lock:
            pool = self._pools.pop(address, None)
        if pool is not None:
            pool.close()

    def _new_pool(self, address: str) -> HTTPConnectionPool:
        """Create a pool that keeps one connection for each call allowed in parallel."""
        ip, _, port = address.rpartition(":")
        return HTTPConnectionPool(
            ip, int(port), maxsize=self._limits.per_address, block=False, socket_options=SOCKET_OPTIONS
        )
