"""benchmarks/ipp_mutated.py in a size for CI: mutated messages lead to an answer, an error or a close."""

from __future__ import annotations

import random
from collections import Counter

from pipitledge.emulator.ipp_mutations import Target, messages, read_pieces, read_whole, request
from pipitledge.ipp.codec import Message


def test_mutated_requests_read_alike_in_pieces_and_never_lead_to_a_fault_of_the_front() -> None:
    target, draw, read = Target(), random.Random(1), Counter[type]()
    for body in messages(1, 1_500):
        whole, cut = read_whole(body), draw.randrange(len(body) + 1)
        assert read_pieces([body[:cut], body[cut:]]) == whole
        read[type(whole)] += 1
        target.send(request(draw, body), body)
    assert read[int] > 300 and read[type(None)] > 100 and read[Message] > 300
    assert not target.crashes and not target.wrong
    assert not [name for name in target.counters.counts if name.startswith("fault.")], target.logged
    assert target.led_to["IPP 0x0000"] > 50 and target.led_to["IPP 0x0400"] > 100 and target.led_to["HTTP 400"] > 50
    assert sum(target.led_to.values()) == 1_500 and target.front.links == 0
