"""Asks a running process for its own view of things."""

from __future__ import annotations

import enum
from collections.abc import Callable

import msgspec
import urllib3
from msgspec import Struct

from pipitledge.runtime.exchanges import INTERNAL_PATH
from pipitledge.wire import codec
from pipitledge.wire.messages import StatusReply, StatusRequest

ANSWER_SECONDS = 5.0
LAST_PORT = 65535
OK = 200

Sections = dict[str, dict[str, object]]


class Fault(enum.Enum):
    """What kept a process from telling."""

    BAD_ADDRESS = "bad address"
    NO_ANSWER = "no answer"
    NOT_OURS = "not a process of the system"
    NO_SECTION = "no such section"
    NOT_PRIMARY = "not the primary"


class StatusProblem(Struct, frozen=True):
    """Why there is no status; the reason names the step that failed."""

    fault: Fault
    address: str
    reason: str

    def __str__(self) -> str:
        """The problem as one line."""
        return f"{self.address}: {self.fault.value}: {self.reason}"


class HttpAnswer(Struct, frozen=True):
    """What came back."""

    status: int
    body: bytes


class NoAnswerError(Exception):
    """No HTTP answer came."""


Post = Callable[[str, bytes], HttpAnswer]  # to an address; raises NoAnswerError


def post_message(address: str, body: bytes) -> HttpAnswer:
    """Send to the internal port of a process."""
    timeout = urllib3.Timeout(ANSWER_SECONDS)
    try:
        with urllib3.PoolManager() as pool:
            url = f"http://{address}{INTERNAL_PATH}"
            response = pool.request("POST", url, body=body, retries=False, redirect=False, timeout=timeout)
            return HttpAnswer(response.status, response.data)
    except urllib3.exceptions.HTTPError as error:
        raise NoAnswerError(_plain(error)) from error


def ask(address: str, section: str = "", post: Post = post_message) -> Sections | StatusProblem:
    """The sections that the process at `address` has; `section` asks for one alone."""
    reply = exchange(address, StatusRequest(section), post)
    if isinstance(reply, StatusProblem):
        return reply
    sections = _sections(reply)
    if sections is None:
        return StatusProblem(Fault.NOT_OURS, address, "its answer is no status")
    if section and section not in sections:
        return StatusProblem(Fault.NO_SECTION, address, _who_has(section))
    return sections


def exchange(address: str, request: Struct, post: Post = post_message) -> Struct | StatusProblem:
    """What the process at `address` ("ip:port" of its internal port) answers to a message."""
    if not _is_address(address):
        return StatusProblem(Fault.BAD_ADDRESS, address, "it has to be ip:port, of a process's internal port")
    try:
        answer = post(address, codec.encode(request))
    except NoAnswerError as error:
        return StatusProblem(Fault.NO_ANSWER, address, str(error))
    if answer.status != OK:
        return StatusProblem(Fault.NOT_OURS, address, f"it answers {INTERNAL_PATH} with HTTP {answer.status}")
    try:
        return codec.decode(answer.body)
    except codec.WireError:
        return StatusProblem(Fault.NOT_OURS, address, "its answer is no message of the system")


def not_primary(address: str, section: dict[str, object]) -> StatusProblem | None:
    """The problem that only the primary knows, if the process that was asked isn't it."""
    if section.get("leads", True):
        return None
    if not section.get("primary"):
        return StatusProblem(Fault.NOT_PRIMARY, address, "and it knows of no primary")
    reason = f"ask {section['primary']} at {section.get('primaryAddress') or 'an address it does not know'}"
    return StatusProblem(Fault.NOT_PRIMARY, address, reason)


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    return bool(host) and "/" not in host and port.isdecimal() and 0 < int(port) <= LAST_PORT


def _sections(reply: Struct) -> Sections | None:
    """The sections in an answer; None if it is no status."""
    if not isinstance(reply, StatusReply):
        return None
    try:
        return msgspec.json.decode(reply.body, type=Sections)
    except msgspec.MsgspecError:
        return None


def _who_has(section: str) -> str:
    if section == "agent":
        return "only agents have it"
    if section == "configuration":
        return "only nodes have it"
    return f"it has no {section}; nodes that count for the quorum have it, `members` lists them"


def _plain(error: urllib3.exceptions.HTTPError) -> str:
    """What a person wants to know of a failed call."""
    if isinstance(error, urllib3.exceptions.NewConnectionError):
        return "no connection: nothing listens there"
    if isinstance(error, urllib3.exceptions.TimeoutError):
        return f"nothing within {ANSWER_SECONDS:g} s"
    return str(error)
