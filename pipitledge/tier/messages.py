"""What nodes of a tier say to each other about their policy, as bytes and back. No I/O.

A message is a frame: two letters, the form's number, whether it is sealed, and a msgpack array (msgspec). With a key it
is sealed: the sender's session and number, and a MAC of 16 bytes over all of it; `Seal` drops what is forged or comes
again. Each message begins with what any may need: who says it, the newest life of each member that the sender knows of
(`lives`), and where the sender stands (`stand`, `line`).
"""

from __future__ import annotations

import hashlib
import hmac
import struct
from typing import NamedTuple

import msgspec

FORM = 1  # of the messages; another one's are counted and ignored
LONGEST = 256  # bytes of a datagram between nodes, by the platform's protocol
_HEAD, _PLAIN, _SEALED = b"pt" + bytes([FORM]), b"\x00", b"\x01"
_NUMBER = struct.Struct(">QI")
MAC = 16
OVERHEAD = len(_HEAD) + 1 + _NUMBER.size + MAC
WINDOW = 64  # numbers behind the newest that may still come, as datagrams overtake each other


class Unreadable(ValueError):
    """What came is no message of ours; the text is the counter's name."""


class Ballot(NamedTuple):
    """The number of a try to decide; the name breaks ties, so that no two tries share one."""

    round: int = 0
    by: str = ""


NO_BALLOT = Ballot()


class Entry(NamedTuple):
    """One link of the line of versions. `line` is the hash of all that came before and of this."""

    number: int  # of the link, from 0
    version: int  # grows with each change; an entry that changes nothing keeps the one before
    digest: bytes  # of the document
    line: bytes

    def then(self, digest: bytes) -> Entry:
        """The entry after this one, which puts that document in force; empty: this one's goes on."""
        digest = digest or self.digest
        return Entry(
            self.number + 1, self.version + (digest != self.digest), digest, line_of(self.line, self.number + 1, digest)
        )


def line_of(before: bytes, number: int, digest: bytes) -> bytes:
    """The hash that ties an entry to all before it (BLAKE2b, 8 bytes)."""
    return hashlib.blake2b(before + number.to_bytes(8, "big") + digest, digest_size=8).digest()


def genesis(digest: bytes) -> Entry:
    """The first entry: the document that the nodes' own files make."""
    return Entry(0, 1, digest, line_of(b"", 0, digest))


class Message(msgspec.Struct, array_like=True, kw_only=True):
    """What all messages begin with."""

    sender: str = ""
    lives: dict[str, int] = {}
    stand: int = 0  # twice the index of the newest entry known, and 1 if it is in force alone
    line: bytes = b""


class Ask(Message, tag=1):
    """A lease is asked for; the number is answered, and tells when it was asked.

    With it goes the newest ballot answered, the first bytes of the document that it was about, and whether that was
    refused: who takes part in a change grants leases only to those who have answered.
    """

    number: int
    answered: Ballot
    proposed: bytes
    refuses: bool


class Grant(Message, tag=2):
    """The answer to Ask: I take part in nothing that you do not know of, for a while from when I heard you."""

    number: int


class Prepare(Message, tag=3):
    """Promise to take part in no lower ballot, and say whether you can take this document (empty: none is proposed)."""

    ballot: Ballot
    index: int
    digest: bytes


class Promise(Message, tag=4):
    """Promised. `left` is for how many ms each member may still have a lease by this node's word.

    A no of another member's, whose `of` it is: this node has given that one a lease, and accepts nothing here.
    """

    ballot: Ballot
    index: int
    accepted: Ballot
    entry: Entry | None  # what was accepted, in which ballot
    no: str  # why the document can't be taken; empty: it can
    left: dict[str, int]
    of: str = ""


class Outbid(Message, tag=5):
    """A higher ballot was promised before."""

    ballot: Ballot
    index: int
    higher: Ballot


class Accept(Message, tag=6):
    """Accept this entry."""

    ballot: Ballot
    entry: Entry


class Accepted(Message, tag=7):
    """Accepted, and stored where there is a disk."""

    ballot: Ballot
    index: int


class Drop(Message, tag=8):
    """The one who made this ballot will never ask for acceptance in it."""

    ballot: Ballot
    index: int


class Joined(Message, tag=9):
    """Both policies bind here; `left` as in Promise, of those not known to have joined."""

    index: int
    left: dict[str, int]


class Fetch(Message, tag=10):
    """Tell me this entry, or the newest where you no longer have it."""

    index: int


class Told(Message, tag=11):
    """A decided entry."""

    entry: Entry


class Pull(Message, tag=12):
    """Tell me a piece of a document."""

    digest: bytes
    offset: int


class Piece(Message, tag=13):
    """A piece; `size` is the whole's."""

    digest: bytes
    offset: int
    size: int
    data: bytes


class Recover(Message, tag=14):
    """I have come back with nothing: note this life of mine, and tell me what you know."""

    nonce: int  # of this life
    round: int
    life: int
    genesis: bytes


class Recovered(Message, tag=15):
    """The answer to Recover. From one that has itself nothing: its session, so that two answers can be compared."""

    nonce: int
    round: int
    remembers: bool
    session: int
    genesis: bytes
    stale: bool  # this life has been another's: take a higher one
    promised: Ballot
    accepted: Ballot
    candidate: Entry | None  # what was accepted
    entry: Entry | None  # the newest decided


class Where(Message, tag=16):
    """Nothing but where the sender stands."""


Any = (
    Ask
    | Grant
    | Prepare
    | Promise
    | Outbid
    | Accept
    | Accepted
    | Drop
    | Joined
    | Fetch
    | Told
    | Pull
    | Piece
    | Recover
    | Recovered
    | Where
)
_ENCODER, _DECODER = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Any)


def encode(message: Message) -> bytes:
    """A message as bytes, without its frame."""
    return _ENCODER.encode(message)


class Seal:
    """Frames and unframes messages of one process, with a key or without."""

    def __init__(self, key: bytes = b"", session: int = 0) -> None:
        """`session` is new with each start of a process, and larger than the ones before (the system's time, in ms)."""
        self.key, self.session, self._number = key, session, 0
        self._seen: dict[tuple[str, int], tuple[int, int]] = {}  # by sender and session: newest number, window

    def frame(self, message: Message) -> bytes:
        """The bytes to send."""
        body = encode(message)
        if not self.key:
            return _HEAD + _PLAIN + body
        self._number += 1
        sealed = _HEAD + _SEALED + _NUMBER.pack(self.session, self._number) + body
        return sealed + self._mac(sealed)

    def _mac(self, data: bytes) -> bytes:
        return hashlib.blake2b(data, digest_size=MAC, key=self.key).digest()

    def unframe(self, data: bytes) -> Any:
        """Read what came; Unreadable with the reason as a counter's name."""
        if len(data) < 4 or data[:2] != _HEAD[:2]:
            raise Unreadable("foreign")
        if data[2] != FORM:
            raise Unreadable("other-form")
        if (data[3:4] == _SEALED) != bool(self.key):
            raise Unreadable("unsealed" if self.key else "sealed")
        body, number = data[4:], (0, 0)
        if self.key:
            if not hmac.compare_digest(self._mac(data[:-MAC]), data[-MAC:]):
                raise Unreadable("forged")
            number, body = _NUMBER.unpack_from(data, 4), data[4 + _NUMBER.size : -MAC]
        try:
            message: Any = _DECODER.decode(body)
        except (msgspec.DecodeError, ValueError, RecursionError) as fault:
            raise Unreadable("unreadable") from fault
        if self.key and not self._is_new(message.sender, *number):
            raise Unreadable("replayed")
        return message

    def _is_new(self, sender: str, session: int, number: int) -> bool:
        """Whether this number of this session has not come yet, and is not too far behind. An older session is none."""
        sessions = [known for known in self._seen if known[0] == sender]
        if any(known[1] > session for known in sessions):
            return False
        for known in sessions:
            if known[1] < session:
                del self._seen[known]
        newest, window = self._seen.get((sender, session), (0, 0))
        if number > newest:
            window = ((window << (number - newest)) | 1) & ((1 << WINDOW) - 1) if number - newest < WINDOW else 1
            newest = number
        else:
            behind = newest - number
            if behind >= WINDOW or window >> behind & 1:
                return False
            window |= 1 << behind
        self._seen[sender, session] = newest, window
        return True
