"""The tier's side of a node: drives the agreement, puts policies in force, answers operators.

A node admits only while the agreement says so; whoever asks without a lease is refused at once, with a time to return
where the settings allow that. Times for the agreement are of CLOCK_BOOTTIME: it goes on while the machine sleeps, and
never jumps.
"""

from __future__ import annotations

import base64
import binascii
import json
import os
import pathlib
import time
from collections import deque
from collections.abc import Generator, Mapping
from dataclasses import dataclass, replace
from random import Random
from typing import Any

import msgspec

from pipitledge.attempts.plans import Loader, Plans
from pipitledge.conf.parse import finish
from pipitledge.conf.places import errors
from pipitledge.decision.interface import UNLIMITED, Plan
from pipitledge.net.scheduler import Scheduler, Task
from pipitledge.net.timers import Clock
from pipitledge.node import config as node_config
from pipitledge.node.config import Address, Config, ConfigError, TierConfig
from pipitledge.node.console import Call, Success
from pipitledge.node.counters import Counters, Log
from pipitledge.node.dispatch import Throttle
from pipitledge.tier import agreement as ag
from pipitledge.tier import document, joint
from pipitledge.tier import messages as m
from pipitledge.tier.agreement import Agreement, Memory, Roster, Stage
from pipitledge.tier.carrier import Carrier
from pipitledge.tier.document import BadDocument, Document
from pipitledge.tier.shelf import ONCE, Shelf
from pipitledge.tier.store import Store
from pipitledge.upgrade.household import Household

PLANS_NAME = "the tier's plans"
HISTORY, OUTCOMES, KEPT = 1_000, 64, 8  # entries shown; outcomes of changes proposed here; documents for a rollback
ELDER_MS, QUIET_MS = 500.0, 700.0  # an elder may admit so long after its heir has all; the heir votes only later


def boot_ms() -> float:
    """Milliseconds of a clock that never jumps and goes on while the machine sleeps."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1_000.0


@dataclass(frozen=True, slots=True)
class Compiled:
    """A document at this node's place."""

    config: Config
    plans: Plans
    loader: Loader

    def plan(self, job_class: int, target: bytes) -> Plan:
        """The plan for a request."""
        return self.plans.plan(job_class, target.decode("latin-1")) if self.plans.classes else UNLIMITED


def first_document(told: Config, tier: TierConfig) -> Document:
    """The document that this node's own files make; ConfigError where they can't be read."""
    plans = ""
    if told.attempts:
        try:
            plans = pathlib.Path(told.attempts).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as fault:
            raise ConfigError(f"{told.attempts}: {fault}") from fault
    members = {name: "{}:{}".format(*address) for name, address in tier.members.items()}
    return Document(document.shared(told.raw["settings"]), plans, "from the nodes' own files", "", 0, members, members)


def read_key(path: str) -> bytes:
    """The key that messages are sealed with: 16 to 64 bytes, white space round it left out."""
    try:
        key = pathlib.Path(path).read_bytes().strip()
    except OSError as fault:
        raise ConfigError(f"tier.key_file: {path}: {fault.strerror}") from fault
    if not 16 <= len(key) <= 64:
        raise ConfigError(f"tier.key_file: {path}: {len(key)} bytes; a key has 16 to 64")
    return key


class TierSide:
    """One node's part in its tier's policy."""

    def __init__(
        self,
        told: Config,
        scheduler: Scheduler,
        clock: Clock,
        counters: Counters,
        log: Log,
        carrier: Carrier,
        store: Store | None,
        handed: Mapping[str, Any] | None = None,
    ) -> None:
        """Begin with what an elder handed over, or the disk has kept, or with nothing."""
        assert told.tier is not None
        self.told, self.tier, self.scheduler, self.clock = told, told.tier, scheduler, clock
        self.counters, self.log, self.carrier, self.store = counters, log, carrier, store
        self.household: Household
        self.shelf = Shelf()
        self.first = first_document(told, self.tier)
        self.seal = m.Seal(read_key(self.tier.key_file) if self.tier.key_file else b"", int(time.time() * 1_000.0))
        self.compiled: dict[bytes, Compiled] = {}
        self.outcomes: dict[str, tuple[str, str, bytes]] = {}
        self.history: deque[dict[str, Any]] = deque(maxlen=HISTORY)
        self.kept: deque[bytes] = deque(maxlen=KEPT)
        self.checking: set[bytes] = set()
        self.now_in_force: tuple[Compiled | None, Compiled | None] = (None, None)  # before, while joint; the newest
        self.lease_until, self.had_lease, self.elder_until, self.quiet_until = -1.0, False, -1.0, -1.0
        self.broken = self.stopped = False
        self.task: Task | None = None
        memory, documents = (store.memory, store.documents) if store is not None else (None, {})
        lives: Mapping[str, int] = {}
        held: Mapping[str, float] = {}
        if handed:
            memory, documents, lives, held = _read_handed(handed)
            self.history.extend(handed.get("history") or [])
            self.quiet_until = boot_ms() + QUIET_MS
        self.node = self._agreement(memory, documents)
        self.node.lives.update({name: max(life, self.node.lives.get(name, 0)) for name, life in lives.items()})
        self.node.held.update(held)

    def _agreement(self, memory: Memory | None, documents: Mapping[bytes, Document]) -> Agreement:
        first = m.genesis(self._keep(self.first))
        node = Agreement(
            self.tier.name,
            first,
            _roster(self.first),
            boot_ms(),
            Random(os.urandom(16)),
            memory,
            self.tier.unanimous,
            int(time.time()),
        )
        for made in documents.values():
            node.rosters[self._keep(made)] = _roster(made)
        return node

    def _keep(self, made: Document) -> bytes:
        digest = self.shelf.put(made)
        if self.store is not None and not self.broken:
            self._disk(lambda store: store.put(made, digest))
        return digest

    # ---- running

    def start(self, household: Household) -> None:
        """Begin to take part; the node's parts are there."""
        self.household = household
        self.carrier.received = self._received
        self._meet()
        self.carrier.start()
        front = household.front
        front.admits, front.refuses, front.plan_of = self.admits, self.refuses, self.plan_of
        self._put_in_force()
        self._carry_out()
        self.task = self.scheduler.spawn(self._run, urgent=True)

    def stop(self) -> None:
        """Take part no more."""
        self.stopped = True
        self.carrier.stop()
        if self.store is not None:
            self.store.close()
        if self.task is not None:
            self.task.wake()

    def _run(self) -> None:
        while not self.stopped:
            now = boot_ms()
            self.node.tick(now)
            self._carry_out()
            self._pull(now)
            self._look_at_lease(now)
            self.scheduler.wait(self.clock.now() + max(1.0, self.node.due(now) - now))

    def _pull(self, now: float) -> None:
        for source, digest, offset in self.shelf.due(now):
            self._send(source, m.Pull(digest=digest, offset=offset, **self.node._top()))

    def _look_at_lease(self, now: float) -> None:
        """Say when the node stops admitting and when it begins again."""
        self.lease_until = self.node.lease_until()
        if (has := now < self.lease_until) != self.had_lease:
            self.had_lease = has
            self.counters.add("tier.lease-held" if has else "tier.lease-lost")
            self.log(
                "tier", lease="held" if has else "lost", stage=self.node.stage.value, version=self.node.entry.version
            )

    # ---- admission

    def admits(self) -> bool:
        """Whether a query may be taken now."""
        now = boot_ms()
        return now < (self.elder_until if self.stopped else self.lease_until)

    def refuses(self) -> Throttle | None:
        """What a client is told at once while nothing may be admitted."""
        if self.admits():
            return None
        self.counters.add("answer.tier-no-lease")
        self.log("tier-refused", why="no lease", stage=self.node.stage.value, version=self.node.entry.version)
        settings = self.household.told.settings
        return Throttle(settings.max_retry_after_ms if settings.retry_after else 0.0)

    def plan_of(self, job_class: int, target: bytes) -> Plan:
        """The plan for a request: of the policy in force, or what both allow while two bind."""
        before, newest = self.now_in_force
        plan = newest.plan(job_class, target) if newest is not None else UNLIMITED
        return plan if before is None else joint.stricter_plan(before.plan(job_class, target), plan)

    # ---- messages

    def _send(self, to: str, message: m.Message) -> None:
        self.carrier.send(to, self.seal.frame(message))

    def _received(self, frame: bytes, sender: Address) -> None:
        if self.stopped:
            return
        try:
            message = self.seal.unframe(frame)
        except m.Unreadable as fault:
            self.counters.add(f"tier.ignored.{fault}")
            return
        known = self._addresses().get(message.sender)
        # A connection comes from any port of a member's machine, a datagram from its address alone.
        if known is None or known[0] != sender[0] or (self.carrier.most == m.LONGEST and known != sender):
            self.counters.add("tier.ignored.stranger")
            return
        self.counters.add("tier.heard")
        now = boot_ms()
        if now < self.quiet_until and not isinstance(message, m.Grant | m.Where):
            return  # the elder may still admit: this node takes part in nothing yet
        if isinstance(message, m.Pull):
            self._tell_piece(message)
        elif isinstance(message, m.Piece):
            if (made := self.shelf.came(message, now)) is not None:
                self.node.arrived(self._keep(made), _roster(made), now)
        else:
            self.node.receive(message, now)
        self._carry_out()
        self._look_at_lease(now)
        if self.task is not None and (self.shelf.coming or self.node.change is not None):
            self.task.wake()

    def _tell_piece(self, pull: m.Pull) -> None:
        # All pieces of a document but its last have one size, however many bytes their numbers take.
        empty = m.Piece(digest=pull.digest, offset=document.MOST, size=document.MOST, data=b"", **self.node._top())
        room = min(self.carrier.most - m.OVERHEAD - len(m.encode(empty)) - 4, ONCE) // 8 * 8
        if (piece := self.shelf.piece(pull.digest, pull.offset, room)) is not None:
            self._send(
                pull.sender,
                m.Piece(digest=pull.digest, offset=pull.offset, size=piece[0], data=piece[1], **self.node._top()),
            )

    def _addresses(self) -> dict[str, Address]:
        """Members that may be spoken to: of the newest documents here, and those that the configuration names."""
        found = dict(self.tier.members)
        for digest in (*self.kept, self.node.proposed, self.node.wanted, self.node.entry.digest):
            made = self.shelf.read.get(digest)
            for name, address in {**made.was, **made.members}.items() if made is not None else ():
                found[name] = node_config.address(address)
        return found

    def _meet(self) -> None:
        self.carrier.meet({name: address for name, address in self._addresses().items() if name != self.tier.name})

    # ---- effects

    def _carry_out(self) -> None:
        while not self.broken and (effects := self.node.take()):
            for effect in effects:
                if self.broken:  # what could not be stored is not told
                    return
                self._do(effect)

    def _disk(self, write: Any) -> None:
        try:
            write(self.store)
        except OSError as fault:
            self.broken = True
            self.counters.add("tier.store-failed")
            self.log("tier", store="failed", error=fault, why="takes part no more; admits until its lease ends")

    def _do(self, effect: ag.Effect) -> None:
        if isinstance(effect, ag.Store):
            if self.store is not None:
                self._disk(lambda store: store.write(effect.memory._replace(entries=effect.memory.entries[-16:])))
        elif isinstance(effect, ag.Send):
            self._send(effect.to, effect.message)
        elif isinstance(effect, ag.Want):
            self.shelf.want(effect.digest, effect.sources)
        elif isinstance(effect, ag.Check):
            self._check(effect.digest)
        elif isinstance(effect, ag.Moved):
            self._put_in_force()
        elif isinstance(effect, ag.Outcome):
            self._told(effect)
        else:
            self.counters.add(f"tier.{next(iter(effect.fields), 'note')}")
            self.log(effect.event, **effect.fields)

    def _told(self, outcome: ag.Outcome) -> None:
        self.outcomes[outcome.digest.hex()] = outcome.result, outcome.why, outcome.winner
        while len(self.outcomes) > OUTCOMES:
            del self.outcomes[next(iter(self.outcomes))]
        self.counters.add(f"tier.change.{outcome.result.replace(' ', '-')}")
        self.log("tier", change=self._name(outcome.digest), result=outcome.result, why=outcome.why)

    def _became(self, change: str) -> dict[str, str]:
        """What became of a change proposed here; the winner's name is known once its document is here."""
        result, why, winner = self.outcomes[change]
        if (made := self.shelf.read.get(winner)) is not None:
            why += f": {made.name!r} of {made.by or 'the files'}"
        return {"result": result, "why": why}

    def _name(self, digest: bytes) -> str:
        made = self.shelf.read.get(digest)
        return made.name if made is not None and made.name else digest.hex()[:8]

    # ---- documents at this place

    def _check(self, digest: bytes) -> None:
        """Check a document against this node's place, in slices beside what is served."""
        if digest in self.checking:
            return
        self.checking.add(digest)

        def check() -> None:
            try:
                no = self._why_not(digest)
            finally:
                self.checking.discard(digest)
            if not self.stopped:
                if no:
                    self.counters.add("tier.refused")
                    self.log("tier", refuses=self._name(digest), why=no)
                self.node.checked(digest, no, boot_ms())
                self._carry_out()

        self.scheduler.spawn(check)

    def _why_not(self, digest: bytes) -> str:
        """Why a document can't be taken here, or nothing; waits between slices."""
        steps = self._compile(self.shelf.read[digest], against=True)
        try:
            while True:
                try:
                    next(steps)
                except StopIteration as end:
                    self.compiled[digest] = end.value
                    return ""
                self.scheduler.wait(self.clock.now())
        except (ConfigError, BadDocument) as fault:
            return str(fault)[:100]

    def _compile(self, made: Document, against: bool) -> Generator[None, None, Compiled]:
        """A document as this node would have it; ConfigError names the place.

        `against`: also where it is none that may follow the one in force here.
        """
        told = self.household.told
        for name, address in made.members.items():
            try:
                node_config.address(address)
            except ConfigError as fault:
                raise ConfigError(f"members.{name}: {fault}") from fault
        settings = document.placed(made, self.told.raw["settings"])
        config = node_config.with_settings(self.told, settings, os.environ, told, against)
        zone, zones = settings.get("zone", 0), settings.get("zones") or [""]
        if not isinstance(zone, int) or not 0 <= zone < len(zones):
            raise ConfigError(f"settings.zones: this node's zone {zone} is none of {len(zones)}")
        loader = Loader(config.settings, {name.decode(): number for name, number in config.names.classes.items()})
        if not made.plans:
            return Compiled(config, Plans(), loader)
        newest = self.now_in_force[1]
        if newest is not None:
            loader.learned[: len(newest.loader.learned)] = newest.loader.learned
        loaded = yield from loader.load(PLANS_NAME, made.plans.encode())
        if loaded.plans is None:
            raise ConfigError(str(errors(loaded.mistakes)[0]))
        return Compiled(config, loaded.plans, loader)

    def _compiled(self, digest: bytes) -> Compiled | None:
        """A document in the numbers that hold now; None where it can't be used at this place at all."""
        known = self.compiled.get(digest)
        if known is not None and known.config.names.numbers == self.household.told.names.numbers.with_names(
            *map(
                list,
                (
                    known.config.names.numbers.classes,
                    known.config.names.numbers.tenants,
                    known.config.names.numbers.zones,
                    known.config.names.numbers.kinds,
                ),
            )
        ):
            return known
        try:
            self.compiled[digest] = finish(self._compile(self.shelf.read[digest], against=False))
        except (ConfigError, KeyError) as fault:
            self.counters.add("tier.unusable")
            self.log("tier", unusable=self._name(digest), why=fault)
            return None
        return self.compiled[digest]

    def _put_in_force(self) -> None:
        """Put in force what the agreement says, in one step: no query sees half of it."""
        node = self.node
        if node.stage is Stage.RECOVERING:
            return
        newest = self._compiled(node.entry.digest)
        if newest is None:  # decided without this node: it can't serve under it, and not under another
            node.stage, node.before = Stage.JOINT, None
            return
        before = self._compiled(node.before.digest) if node.before is not None else None
        if node.stage is Stage.IN_FORCE:
            before = None
        self.now_in_force = before, newest
        config = newest.config
        if before is not None:
            newer, older = newest.config.names, before.config.names
            names = replace(
                newer,
                classes={name: number for name, number in newer.classes.items() if name in older.classes},
                tenants={name: number for name, number in newer.tenants.items() if name in older.tenants},
            )
            config = replace(config, names=names, settings=joint.stricter(before.config.settings, config.settings))
        newest.loader.apply(newest.plans)
        self.household.adopt(config)
        self._meet()
        if node.entry.digest not in self.kept:
            self.kept.append(node.entry.digest)
        keeps = node.keeps() | set(self.kept) | self.checking
        self.shelf.keep(keeps | set(self.shelf.coming))
        self.compiled = {digest: made for digest, made in self.compiled.items() if digest in keeps}
        if self.store is not None:
            self._disk(lambda store: store.keep(keeps))
        self.lease_until = node.lease_until()
        made = self.shelf.read[node.entry.digest]
        stands = {
            "version": node.entry.version,
            "index": node.entry.number,
            "stage": node.stage.value,
            "digest": node.entry.digest.hex(),
            "name": made.name,
            "by": made.by,
        }
        if self.history and stands.items() <= self.history[-1].items():
            return
        self.history.append({"at": time.time(), **stands})
        self.counters.add(f"tier.{node.stage.value.replace(' ', '-')}")
        self.log(
            "tier",
            stage=node.stage.value,
            version=node.entry.version,
            name=made.name or "-",
            digest=node.entry.digest.hex()[:8],
        )

    # ---- SIGHUP

    def reload(self, environ: Mapping[str, str]) -> None:
        """Read the node's own file again. What is its own is taken; with a policy unlike the tier's nothing is."""
        node, told = self.node, self.household.told
        try:
            if node.stage is not Stage.IN_FORCE:
                raise ConfigError(f"a change of the tier's policy is under way (version {node.entry.version})")
            in_force = self.shelf.read[node.entry.digest]
            new = node_config.load(environ, told)
            mine = first_document(new, self.tier)
            found = document.differences(in_force, replace(mine, members=in_force.members, was=in_force.was))
            if found:
                place, was, becomes = found[0]
                raise ConfigError(
                    f"{place}: the tier's policy, version {node.entry.version}, has {was}, the file has "
                    f"{becomes}; a change of it is made by pipitledge policy propose"
                )
        except ConfigError as fault:
            self.counters.add("config.kept")
            self.log("config", kept=told.name, error=fault)
            return
        self.told = replace(new, known=self.told.known)
        self.household.adopt(new)
        self.counters.add("config.reloaded")
        self.log(
            "config",
            discovery="{}:{}".format(*new.discovery),
            moved=new.discovery != told.discovery,
            settings="the tier's",
            needs_restart=",".join(node_config.restart_required_keys(told, new)) or "-",
        )

    # ---- an upgrade of this node

    def hand_over(self) -> dict[str, Any]:
        """Give all to the process that takes this one's place, and take part no more."""
        node = self.node
        self.elder_until = min(boot_ms() + ELDER_MS, self.lease_until)
        memory = Memory(
            node.lives[node.me],
            tuple(node.entries[-16:]),
            node.stage is Stage.IN_FORCE,
            node.promised,
            node.proposed,
            node.answers,
            node.accepted,
            node.candidate,
        )
        self.stop()
        if node.stage is Stage.RECOVERING:
            return {}
        wanted = node.keeps() | set(self.kept)
        return {
            "memory": base64.b64encode(msgspec.msgpack.encode(memory)).decode(),
            "lives": node.lives,
            "held": node.held,
            "history": list(self.history)[-50:],
            "documents": [made.data().decode() for digest, made in self.shelf.read.items() if digest in wanted],
        }

    def take_back(self) -> None:
        """The heir is gone, and may have voted: come back as one that has forgotten, or by the disk."""
        memory, documents = None, {}
        if self.store is not None:
            self.store = Store(str(self.store.folder), self.tier.name)
            memory, documents = self.store.memory, self.store.documents
        self.seal = m.Seal(self.seal.key, int(time.time() * 1_000.0))
        self.node = self._agreement(memory, documents)
        self.stopped, self.lease_until, self.had_lease = False, -1.0, False
        self.start(self.household)

    # ---- operators

    def operate(self, call: Call) -> str | None:
        """Answer an operator's call about the policy: Yes with its JSON, or why not."""
        word, *rest = call.words
        try:
            if word == "STATUS" and not rest:
                return Success(json.dumps(self.status()))
            if word == "SHOW" and len(rest) <= 1:
                return self._show(rest[0] if rest else "")
            if word == "HISTORY" and not rest:
                return Success(json.dumps(list(self.history)))
            if word == "ABORT" and not rest:
                no = self.node.abort(boot_ms())
                self._carry_out()
                return no or Success("{}")
            if word == "VOUCH" and len(rest) == 1:
                no = self.node.vouch(rest[0])
                self.log("tier", vouched=rest[0], refused=no or "-")
                return no or Success("{}")
            if word == "OUTCOME" and len(rest) == 1:
                return self._outcome(rest[0])
            if word == "PROPOSE" and len(rest) == 2:
                return self._propose(rest[1], call.body)
        except (BadDocument, ConfigError) as fault:
            return str(fault)
        return "POLICY takes STATUS, SHOW [VERSION], HISTORY, OUTCOME ID, ABORT, VOUCH NAME or PROPOSE BYTES VERSION"

    def _show(self, version: str) -> str:
        for entry in (
            [entry for entry in reversed(self.node.entries) if str(entry.version) == version]
            if version
            else [self.node.entry]
        ):
            if entry.digest in self.shelf.read:
                return Success(
                    json.dumps(
                        {
                            "version": entry.version,
                            "digest": entry.digest.hex(),
                            "document": json.loads(self.shelf.read[entry.digest].data()),
                        }
                    )
                )
        return f"version {version} is not kept here; of the last {KEPT} those that this process has seen are"

    def _outcome(self, digest: str) -> str:
        if digest in self.outcomes and self.outcomes[digest][2] not in self.shelf.coming:  # with its name
            return Success(json.dumps(self._became(digest)))
        if self.node.wanted.hex() == digest or digest in self.outcomes:
            return Success(json.dumps({"result": "under way", "why": ""}))
        return "no such change was proposed here"

    def _propose(self, made_from: str, body: bytes) -> str:
        try:
            raw = json.loads(body)
            assert isinstance(raw, dict)
        except (ValueError, AssertionError):
            raise BadDocument("the proposal is no JSON object") from None
        in_force = self.shelf.read[self.node.entry.digest]
        for key, kind in (("settings", dict), ("plans", str), ("members", dict), ("name", str)):
            if key in raw and not isinstance(raw[key], kind):
                raise BadDocument(f"{key}: of another kind")
        if unknown := set(raw) - {"settings", "plans", "members", "name"}:
            raise BadDocument(f"{min(unknown)}: not known")
        name = str(raw.get("name", ""))[: document.MOST_NAME]
        settings = document.shared(raw["settings"]) if "settings" in raw else in_force.settings
        made = Document(
            settings,
            raw.get("plans", in_force.plans),
            name,
            self.tier.name,
            int(time.time() * 1_000.0),
            raw.get("members", in_force.members),
            in_force.members,
        )
        made = document.read(made.data())
        if not document.differences(in_force, made):
            return f"it changes nothing of version {self.node.entry.version}"
        digest = self._keep(made)
        if no := self._why_not(digest):
            return f"{self.tier.name}: {no}"
        version = self.node.entry.version if made_from == "-" else int(made_from) if made_from.isdecimal() else -1
        if no := self.node.propose(digest, _roster(made), version, boot_ms()):
            return no
        self.log("tier", proposed=name or digest.hex()[:8], made_from=version)
        self._meet()
        self._carry_out()
        if self.task is not None:
            self.task.wake()
        return Success(json.dumps({"id": digest.hex()}))

    def status(self) -> dict[str, Any]:
        """Where this node and, as far as it has heard, the others stand."""
        node, now = self.node, boot_ms()
        versions = {entry.number: entry.version for entry in node.entries}
        lease = node.lease_until() - now
        members: dict[str, Any] = {}
        for name, address in self.shelf.read[node.entry.digest].members.items():
            heard, stand, index = node.heard.get(name, (-1.0, -1, -1))
            members[name] = {
                "address": address,
                "heard_ms": round(now - heard) if heard >= 0 else None,
                "version": versions.get(index),
                "stage": None if stand < 0 else (Stage.IN_FORCE if stand % 2 else Stage.JOINT).value,
                "vouched": name in node.vouched,
            }
        if node.me in members:
            members[node.me] |= {"heard_ms": 0, "version": node.entry.version, "stage": node.stage.value}
        change = (
            {
                "proposer": node.promised.by,
                "name": self._name(node.proposed) if node.proposed else "",
                "accepted": node.candidate is not None,
            }
            if node.heard_of_ms < float("inf")
            else None
        )
        return {
            "node": node.me,
            "stage": node.stage.value,
            "version": node.entry.version,
            "name": self._name(node.entry.digest),
            "digest": node.entry.digest.hex(),
            "admits": self.admits(),
            "lease_ms": None if lease == float("inf") else round(max(0.0, lease)),
            "needs": dict(zip(("decision", "lease"), ag.quorum(len(members), node.unanimous), strict=True)),
            "members": members,
            "change": change,
            "broken": self.broken,
            "outcomes": {change: self._became(change) for change in self.outcomes},
        }


def _roster(made: Document) -> Roster:
    return Roster(tuple(sorted(made.members)), tuple(sorted(made.was)))


def _read_handed(
    handed: Mapping[str, Any],
) -> tuple[Memory | None, dict[bytes, Document], dict[str, int], dict[str, float]]:
    """What an elder handed over; nothing where it can't be read: then this process comes back as one that forgot."""
    try:
        memory = msgspec.msgpack.decode(base64.b64decode(handed["memory"]), type=Memory)
        documents = {document.digest_of(text.encode()): document.read(text.encode()) for text in handed["documents"]}
        lives = {str(name): int(life) for name, life in handed["lives"].items()}
        held = {str(name): float(when) for name, when in handed["held"].items()}
        return memory, documents, lives, held
    except (KeyError, TypeError, ValueError, AttributeError, msgspec.DecodeError, binascii.Error):
        return None, {}, {}, {}
