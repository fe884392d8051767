"""The HTTP transport by which an agent calls the worker on its machine; implements the port `WorkerTransport`."""

from __future__ import annotations

from collections.abc import Callable

from pipitledge.runtime.call_threads import CallLimits
from pipitledge.runtime.executor import SerialExecutor
from pipitledge.runtime.http_client import CallResult, HttpClient, OutgoingCall
from pipitledge.runtime.ports import WorkerResponse

CONCURRENT_CALLS = 8  # also the number of connections kept open, because each new connection is costly
HEADERS = {"Content-Type": "application/json"}
INSTANCE_HEADER = "X-Expect-Instance"


class HttpWorkerTransport:
    """Posts JSON to one worker over pooled connections."""

    def __init__(self, executor: SerialExecutor, address: str) -> None:
        """Create a client for the worker at `address` ("ip:port")."""
        limits = CallLimits(
            threads=CONCURRENT_CALLS,
            per_address=CONCURRENT_CALLS,
            per_suspect=CONCURRENT_CALLS,
            total_suspect=CONCURRENT_CALLS,
        )
        self._calls = HttpClient(executor, "worker", limits)
        self._address = address

    def post(
        self, path: str, body: bytes, instance: str, timeout: float, on_answer: Callable[[WorkerResponse], None]
    ) -> None:
        """POST JSON to the worker; only worker instance `instance` should accept it (empty: any instance)."""
        headers = {**HEADERS, INSTANCE_HEADER: instance} if instance else HEADERS

        def on_result(result: CallResult) -> None:
            on_answer(WorkerResponse(result.status, result.body, result.refused))

        self._calls.post(OutgoingCall(self._address, path, body, timeout, headers), on_result)

    def close(self) -> None:
        """Close the pooled connections."""
        self._calls.close()
