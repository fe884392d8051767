"""Adapter between the simulator's line protocol and one Policy per simulated scheduler node. It takes no decisions.

The simulator sends batches of events on standard input; the actions of the policies are written to standard output.
"""

from __future__ import annotations

import sys
import traceback
from collections.abc import Callable, Iterator
from typing import Any, TextIO

from pipitledge.decision import interface as api
from pipitledge.decision.policy import Policy
from pipitledge.decision.settings import REPORT_FIELD_NAMES, STATES, parse_settings

RESULTS = {
    "0": api.Result.OK,
    "255": api.Result.ERROR,
    "254": api.Result.FULL,
    "253": api.Result.TIMEOUT,
    "252": api.Result.CONNECT_FAILED,
    "251": api.Result.RESET,
    "250": api.Result.CANCELLED,
    "249": api.Result.NOT_SENT,
}
LISTINGS = {listing.value: listing for listing in api.Listing}
Fields = dict[str, str]


class WireError(Exception):
    """The input does not follow the protocol."""


def _report(fields: Fields) -> dict[str, float] | None:
    text = fields.get("stats")
    if not text or text == "-":
        return None
    pairs = (pair.split(":", 1) for pair in text.split(","))
    return {REPORT_FIELD_NAMES.get(name, name): float(value) for name, value in pairs}


def _worker(fields: Fields) -> api.Worker:
    return api.Worker(
        fields["worker"],
        STATES[fields["phase"]],
        int(fields.get("site", 0)),
        int(fields.get("shape", 0)),
        int(fields.get("unit_group", 0)),
        float(fields.get("weight", 1.0)),
        float(fields.get("boot_time_ms", 0.0)),
    )


def _accept(fields: Fields) -> api.Event:
    get = fields.get
    return api.JobArrived(
        fields["ticket"],
        int(get("category", 0)),
        int(get("realm", 0)),
        float(get("patience_left_ms", 0.0)),
        float(get("width", 1.0)),
        float(get("mem_needed", 0.0)),
        float(get("work_ms", 0.0)),
        get("affinity", ""),
        get("is_retry") == "1",
    )


def _outcome(fields: Fields) -> api.Event:
    return api.AttemptEnded(
        fields["ticket"],
        int(fields.get("trial", 0)),
        fields["worker"],
        RESULTS[fields["ending"]],
        float(fields.get("elapsed_ms", 0.0)),
        fields.get("done_flag") == "1",
        _report(fields),
    )


def _note(fields: Fields) -> api.Event:
    fraction = float(fields.get("amount", 0.0)) if fields.get("sort") == "2" else 0.0
    return api.AttemptNote(fields["ticket"], int(fields.get("trial", 0)), fields["worker"], fraction)


def _probe_done(fields: Fields) -> api.Event:
    return api.ProbeEnded(
        fields["worker"], RESULTS[fields["ending"]], float(fields.get("elapsed_ms", 0.0)), _report(fields)
    )


EVENTS: dict[str, Callable[[Fields], api.Event]] = {
    "accept": _accept,
    "outcome": _outcome,
    "note": _note,
    "vanished": lambda fields: api.ClientGone(fields["ticket"]),
    "probe_done": _probe_done,
    "tick_due": lambda fields: api.TimerFired(int(fields["nonce"])),
}

ACTIONS: dict[type, Callable[[Any], str]] = {
    api.Send: lambda a: f"transmit\tticket={a.job}\tworker={a.worker}\tpatience_ms={a.timeout_ms:.3f}",
    api.Cancel: lambda a: f"drop_attempt\tticket={a.job}\ttrial={a.attempt}",
    api.Refuse: lambda a: f"decline\tticket={a.job}\tcool_down_ms={a.retry_after_ms:.3f}",
    api.Fail: lambda a: f"lose\tticket={a.job}",
    api.Probe: lambda a: f"test\tworker={a.worker}",
    api.Subscribe: lambda a: "subscribe\tenable=1",
    api.SetTimer: lambda a: f"wake_me\tin_ms={a.delay_ms:.3f}\tnonce={a.token}",
    api.Log: lambda a: f"write_log\ttext={a.text}",
}


class Adapter:
    """Hosts the policies of all simulated nodes of one process and answers their batches."""

    def __init__(self, lines: Iterator[str], out: TextIO) -> None:
        """Read batches from `lines` and write replies to `out`."""
        self.lines = lines
        self.out = out
        self.line_number = 0
        self.policies: dict[int, Policy] = {}

    def run(self) -> int:
        """Answer batches until the input ends; malformed input gives one line on standard error and exit code 2."""
        try:
            for line in self.lines:
                self.line_number += 1
                self._batch(line.rstrip("\n"))
        except WireError as fault:
            print(f"line {self.line_number}: {fault}", file=sys.stderr)
            return 2
        except (KeyError, ValueError, UnicodeDecodeError) as fault:
            print(f"line {self.line_number}: bad or missing value: {fault}", file=sys.stderr)
            return 2
        return 0

    def _next(self) -> list[str]:
        line = next(self.lines, None)
        if line is None:
            raise WireError("input ends inside a batch")
        self.line_number += 1
        return line.rstrip("\n").split("\t")

    def _batch(self, first: str) -> None:
        name, *parts = first.split("\t")
        if name != "clock":
            raise WireError(f"a batch starts with 'clock', not {name!r}")
        clock = _fields(parts)
        now, batch = float(clock["ts_ms"]), int(clock["round"])
        events: dict[int, list[api.Event]] = {}
        instance: int | None = None
        name, *parts = self._next()
        while name != "eob":
            if name == "instance":
                instance = int(_fields(parts)["i"])
            elif name == "spawn":
                options = next((part for part in parts if part.startswith("options=")), None)
                if options is None or instance is None:
                    raise WireError("spawn without an instance or without options")
                try:
                    settings = parse_settings(options[8:])
                except (ValueError, TypeError, AttributeError) as fault:
                    raise WireError(f"bad options: {fault}") from None
                self.policies[instance] = Policy(settings, int(_fields(parts)["random_seed"]))
                events[instance] = []
            elif name == "shutdown":
                if instance is not None:
                    self.policies.pop(instance, None)
                    events.pop(instance, None)
            elif name == "backends_changed":
                fields = _fields(parts)
                count = int(fields.get("rows_in", 0))
                rows = tuple(_worker(_fields(self._next()[1:])) for _ in range(count))
                self._add(events, instance, api.WorkersChanged(LISTINGS[fields["how"]], rows))
            elif name in EVENTS:
                self._add(events, instance, EVENTS[name](_fields(parts)))
            name, *parts = self._next()
        reply: list[str] = []
        for number, batch_events in events.items():
            self._answer(number, now, batch_events, reply)
        reply.append(f"eor\tround={batch}\n")
        self.out.write("\n".join(reply))
        self.out.flush()

    def _add(self, events: dict[int, list[api.Event]], instance: int | None, event: api.Event) -> None:
        if instance is None or instance not in self.policies:
            raise WireError(f"event for an unknown instance {instance}")
        events.setdefault(instance, []).append(event)

    def _answer(self, number: int, now: float, events: list[api.Event], reply: list[str]) -> None:
        try:
            actions = self.policies[number].handle(now, events)
        except Exception as fault:  # the simulation must end with the reason, whatever it is
            traceback.print_exc(file=sys.stderr)
            reply += [f"speaking\ti={number}", f"bail_out\ttext={type(fault).__name__}: {fault}"]
            return
        # In this protocol an attempt has left the node once it is sent, so there is nothing to withdraw.
        if actions := [action for action in actions if not isinstance(action, api.Withdraw)]:
            reply.append(f"speaking\ti={number}")
            reply += [ACTIONS[type(action)](action) for action in actions]


def _fields(parts: list[str]) -> Fields:
    try:
        return dict([part.split("=", 1) for part in parts])
    except ValueError:
        raise WireError("a part is not name=value") from None


def main() -> int:
    """Serve standard input until it ends."""
    return Adapter(iter(sys.stdin), sys.stdout).run()


if __name__ == "__main__":
    sys.exit(main())
