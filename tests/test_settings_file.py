"""Changes of settings: which files are refused, stable indexes of names, and effects on open jobs."""

from __future__ import annotations

import copy
import json
import pathlib
import signal
import socket
from typing import Any

import pytest
from helpers import COLD, SAFE, UNSAFE, Driver, of_type
from helpers import settings as module_settings
from hypothesis import given
from hypothesis import strategies as st
from net_helper import DERANDOMISED, END, HEAD, line
from node_helper import Node, exchange, job, node_config

from pipitledge.decision.interface import Listing, Refuse, Repeat, Result, Send, SettingsChanged, Tenant, Worker
from pipitledge.node import config
from pipitledge.node.settings_file import InvalidSettingsFile, NameIndexes, check_against
from pipitledge.upgrade.knowledge import inherited, learned_by

LANE = {"name": "menu-plan", "deadline_ms": 5000, "objective_ms": 100.0, "repeat": "free", "worth": 1.0}
FULL = node_config(
    settings={
        "lanes": [LANE, LANE | {"name": "order-pay", "repeat": "guarded", "dedup_scope": "cell", "window_ms": 7500}],
        "realms": [{"name": "hverdag", "share": 0.6}, {"name": "familie", "share": 0.4}],
        "shapes": ["fast-4", "slow-5"],
        "zones": ["aarhus-1"],
        "zone": 0,
        "discovery": "ask",
        "permissions": {"max_attempts": 6, "cancel": True},
        "rules": {"cold_ms": 22000.0},
        "specifics": {"class_stretch": [1.75, 2.5], "report_x0": "free slots"},
    }
)


def file_with(*changes: tuple[str, Any]) -> dict[str, Any]:
    """The full file with values changed by path; a path with the value KeyError is removed."""
    raw = copy.deepcopy(FULL)
    for location, value in changes:
        *path, last = [int(key) if key.isdigit() else key for key in location.split("/")]
        at: Any = raw
        for key in path:
            at = at[key]
        if value is KeyError:
            del at[last]
        else:
            at[last] = value
    return raw


@pytest.mark.parametrize(
    "location, value, message",
    [
        ("settings", KeyError, "settings: not an object"),
        ("settings", [], "settings: not an object"),
        ("discovery", KeyError, "discovery: missing"),
        ("listen", KeyError, "listen: missing"),
        ("limits/sockets", KeyError, "limits.sockets: missing"),
        ("limits/sockets", 0, "limits.sockets"),
        ("settings/permissions", KeyError, "settings.permissions: missing"),
        ("settings/permissions/max_attempts", KeyError, "settings.permissions.max_attempts: missing"),
        ("settings/permissions/max_attempts", 0, "'0' is not a positive whole number"),
        ("settings/permissions/max_attempts", 2.5, "'2.5' is not a positive whole number"),
        ("settings/permissions/max_attempts", True, "not a positive"),
        ("settings/permissions/max_attempts", "3", "not a positive"),
        ("settings/permissions/cancel", 1, "settings.permissions.cancel: '1' is no true or false"),
        ("settings/rules/cold_ms", KeyError, "settings.rules.cold_ms: missing"),
        ("settings/rules/cold_ms", None, "settings.rules.cold_ms: 'None' is no number"),
        ("settings/lanes/1/deadline_ms", 0, "settings.lanes[1].deadline_ms"),
        ("settings/lanes/1/deadline_ms", -5, "settings.lanes[1].deadline_ms: '-5' is not a positive number"),
        ("settings/lanes/0/deadline_ms", "5000", "settings.lanes[0].deadline_ms"),
        ("settings/lanes/0/deadline_ms", float("inf"), "settings.lanes[0].deadline_ms: inf is not a finite number"),
        ("settings/lanes/0/deadline_ms", KeyError, "settings.lanes[0].deadline_ms: missing"),
        ("settings/lanes/0/repeat", KeyError, "settings.lanes[0].repeat: missing"),
        ("settings/lanes/0/name", KeyError, "settings.lanes[0].name: missing"),
        ("settings/lanes/0/name", "order-pay", "named twice"),
        ("settings/lanes", [], "settings.lanes: no class"),
        ("settings/lanes", {}, "settings.lanes: not a list"),
        ("settings/lanes/0", "menu-plan", "settings.lanes[0]: not an object"),
        ("settings/realms/0/share", "all", "settings.realms[0].share"),
        ("settings/shapes", [1], "settings.shapes[0]"),
        ("settings/specifics/class_stretch", [1.75], "settings.specifics.class_stretch: 1 values for 2 classes"),
    ],
)
def test_an_unusable_file_is_refused_and_the_location_named(location: str, value: Any, message: str) -> None:
    with pytest.raises(InvalidSettingsFile) as fault:
        check_against(FULL, file_with((location, value)))
    assert message in str(fault.value)
    for raw in (None, [], "text", 5, {}):
        with pytest.raises(InvalidSettingsFile):
            check_against(FULL, raw)


def test_permitted_changes_are_accepted() -> None:
    lanes = ("settings/lanes", [LANE | {"repeat": "single_shot"}]), ("settings/specifics/class_stretch", [2.0])
    for changes in (
        lanes,
        (("settings/realms/0/share", 1),),
        (("settings/permissions/max_attempts", 1),),
        (("known", KeyError),),
        (("more", {"x": 1}),),
    ):
        check_against(FULL, file_with(*changes))


@DERANDOMISED
@given(
    files=st.lists(
        st.tuples(
            *(st.lists(st.sampled_from("abcde"), min_size=1, max_size=4, unique=True) for _ in range(3)),
            st.integers(1, 9),
        ),
        min_size=1,
        max_size=6,
    )
)
def test_names_keep_their_indexes_and_removed_ones_keep_their_values(
    files: list[tuple[list[str], list[str], list[str], int]], tmp_path_factory: pytest.TempPathFactory
) -> None:
    path = tmp_path_factory.getbasetemp() / "config.json"
    seen: dict[str, int] = {}
    worths: dict[str, float] = {}
    now: config.Config | None = None
    for classes, tenants, kinds, worth in files:
        stated = FULL["settings"] | {
            "lanes": [LANE | {"name": name, "worth": worth + index} for index, name in enumerate(classes)],
            "realms": [{"name": name, "share": 1.0 + index} for index, name in enumerate(tenants)],
            "shapes": kinds,
            "specifics": {"class_kind": [index % len(kinds) for index in range(len(classes))]},
        }
        path.write_text(json.dumps(FULL | {"settings": stated}))
        now = config.load({"BALANCER_CONFIG": str(path)}, now)
        for index, name in enumerate(classes):
            assert seen.setdefault(name, len(seen)) == now.names.classes[name.encode()]
            worths[name] = worth + index
            kind = now.settings.classes[seen[name]].kind
            assert kind == now.names.kinds[kinds[index % len(kinds)]] < now.settings.kinds
        assert {name.decode() for name in now.names.classes} == {*classes}
        assert [now.settings.classes[number].worth for number in seen.values()] == [worths[name] for name in seen]
        shares = {name: now.settings.tenants[number].share for name, number in now.names.numbers.tenants.items()}
        assert shares == {name: 0.0 for name in shares} | {name: 1.0 + at for at, name in enumerate(tenants)}


# ---- the module


def test_open_jobs_keep_their_class_and_a_lower_attempt_limit_applies_at_once() -> None:
    driver = Driver(module_settings(max_attempts=3), workers=3)
    [safe] = of_type(driver.job("safe"), Send)
    [other] = of_type(driver.job("other"), Send)
    stricter = module_settings(
        classes=(UNSAFE, UNSAFE, SAFE), max_attempts=2, tenants=(Tenant(0.0), Tenant(0.5), Tenant(0.5))
    )
    driver.handle(SettingsChanged(stricter))
    [again] = of_type(driver.end(safe, Result.ERROR), Send)  # its class was safe to repeat when it arrived
    assert of_type(driver.end(again, Result.ERROR), Refuse)  # the second attempt was the last
    [new] = of_type(driver.job("new", tenant=2, job_class=2), Send)
    assert of_type(driver.end(new, Result.ERROR), Send)
    [once] = of_type(driver.job("once"), Send)
    assert not of_type(driver.end(once, Result.ERROR), Send)  # class 0 must not be repeated from now on
    driver.handle(
        SettingsChanged(
            module_settings(
                classes=(UNSAFE, UNSAFE, SAFE), max_attempts=9, tenants=(Tenant(0.0), Tenant(0.5), Tenant(0.5))
            )
        )
    )
    [second] = of_type(driver.end(other, Result.ERROR), Send)
    [third] = of_type(driver.end(second, Result.ERROR), Send)
    assert not of_type(driver.end(third, Result.ERROR), Send)  # three were allowed when it arrived
    assert driver.policy.settings.classes[0].repeat is Repeat.UNSAFE


def test_learned_values_are_handed_over_by_name_to_the_next_process() -> None:
    """Guards against handing over every value as a float: a flag became one, and each later send failed."""
    previous, successor = (Driver(module_settings(kinds=2), workers=0, seed=seed) for seed in (1, 2))
    rows = [Worker("w0"), Worker("w1", kind=1), Worker("w2", started_ms=900.0)]
    previous.list(rows)
    previous.learn_slots(6.0, 8)
    successor.list(rows)
    successor.now = previous.now
    names = NameIndexes({"a": 0, "b": 1}, {}, {}, {"fast": 0, "slow": 1})
    other = NameIndexes({"b": 0, "c": 1}, {}, {}, {"slow": 0, "fast": 1})  # in another order, with a new class
    learned = json.loads(json.dumps(learned_by(previous.policy, names)))
    given = inherited(learned, other, successor.policy)
    assert given is not None
    successor.handle(given)
    assert (
        successor.policy.slots == previous.policy.slots[::-1]
        and successor.policy.run_ms[0] == previous.policy.run_ms[1]
    )
    for name, worker in successor.policy.workers.items():
        assert (worker.slowness, worker.cold_tokens, worker.tried) == (
            previous.policy.workers[name].slowness,
            previous.policy.workers[name].cold_tokens,
            previous.policy.workers[name].tried,
        )
    assert any(worker.tried for worker in successor.policy.workers.values())
    successor.learn_slots(6.0, 8)
    assert len(of_type(successor.all_actions, Send)) == 8
    for broken in ({}, {"run_ms": 5}, learned | {"spill": "much"}, learned | {"workers": [1]}):
        assert inherited(broken, other, successor.policy) is None


def test_a_cold_worker_gets_one_safe_job_and_no_other_until_it_is_warm_enough() -> None:
    driver = Driver(module_settings(classes=(SAFE, UNSAFE), **COLD), workers=3)
    driver.learn_slots(4.0, 5)
    driver.list([Worker("w1", started_ms=driver.now)], Listing.DELTA)
    first = of_type(driver.job("unsafe", job_class=1), Send) + of_type(driver.job("safe"), Send)
    second = of_type(driver.job("next"), Send)
    assert [send.worker == "w1" for send in first + second] == [False, True, False]


# ---- the node


def test_a_running_node_adds_classes_and_completes_jobs_of_removed_ones(tmp_path: pathlib.Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as worker:
        row = {
            "uid": "s-0",
            "endpoint": f"127.0.0.1:{worker.getsockname()[1]}",
            "az": "aarhus-1",
            "model": "fast-4",
            "pod_group": 0,
            "state": "in_service",
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }
        worker.settimeout(10.0)
        known = {"rev": 1, "all": True, "targets": [row, row | {"uid": "s-1"}]}  # of one slot each
        with Node(tmp_path, settings=FULL["settings"], known=known) as node, node.client() as client:
            client.sendall(job("a"))
            link, _ = worker.accept()
            with link:
                lanes = [LANE | {"name": "fish-cake"}, FULL["settings"]["lanes"][1]]
                node.write(settings=FULL["settings"] | {"lanes": lanes})
                node.signal(signal.SIGHUP)
                assert "settings=changed classes=fish-cake,order-pay needs_restart=-" in node.until("config")
                with node.client() as other:
                    assert b" 404 " in exchange(other, job("b"))  # the class menu-plan was removed
                with node.client() as other:
                    other.sendall(job("c").replace(b"menu-plan", b"fish-cake"))
                    of_new, _ = worker.accept()
                    with of_new:
                        # The request is read first: bytes sent before it would not count as its answer.
                        assert b"Request-Id: c\r\n" in of_new.recv(4_096)
                        of_new.sendall(HEAD + line("done", "c", result="cakes") + END)
                        assert other.recv(4_096).endswith(b"cakes")
                link.sendall(HEAD + line("done", result="menu") + END)
                assert client.recv(4_096).endswith(b"menu")


def test_plans_that_do_not_fit_the_new_settings_leave_all_unchanged(tmp_path: pathlib.Path) -> None:
    plans = tmp_path / "attempts.conf"
    plans.write_text("class menu-plan\n  attempts 2\n")
    with Node(tmp_path, attempts=str(plans)) as node, node.client() as client:
        lanes = [LANE | {"name": "menu-plan", "repeat": "single_shot"}, LANE | {"name": "fish-cake"}]
        plans.write_text("class menu-plan\n  attempts 2\n  retry-on reset\n")
        node.write(settings=node_config()["settings"] | {"lanes": lanes}, attempts=str(plans))  # type: ignore[operator]
        node.signal(signal.SIGHUP)
        assert "does not fit these settings" in node.until(" config kept=")
        assert b" 404 " in exchange(client, job("b").replace(b"menu-plan", b"fish-cake"))
