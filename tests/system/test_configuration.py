from __future__ import annotations

import json
import unittest
from collections import Counter
from random import Random
from unittest import mock

from msgspec import Struct

from pipitledge.configuration import checks, configuration_service, transfer
from pipitledge.configuration.checks import InvalidConfiguration, ParsedConfiguration
from pipitledge.configuration.configuration_service import ConfigurationService
from pipitledge.configuration.data_plane import DataPlane
from pipitledge.configuration.datasets import PoolUsage, QueueLoad, QueueUsageReport
from pipitledge.configuration.model import Configuration
from pipitledge.runtime.handlers import Handlers
from pipitledge.runtime.settings import Bounds
from pipitledge.wire.messages import DatasetVersion, NotPrimary, OperatorCall, PullReply, PullRequest, Update
from tests.system.configuration_world import (
    Answers,
    HeldReplicator,
    ScriptedCaller,
    SilentLog,
    change,
    clock_of,
    route,
    service,
    whole,
)
from tests.system.virtual import World


def parsed(body: bytes) -> ParsedConfiguration:
    checked = checks.check_full_configuration(body, 0)
    assert isinstance(checked, ParsedConfiguration), str(checked)
    return checked


class WholeConfigurationTest(unittest.TestCase):
    def assert_places(self, body: bytes, *places: str) -> None:
        checked = checks.check_full_configuration(body, 5)
        assert isinstance(checked, InvalidConfiguration), checked
        self.assertEqual([problem.location for problem in checked.problems], list(places))

    def test_typed_fields_come_out(self) -> None:
        limits = {"maxBodyBytes": 1000, "idleTimeoutMs": 15000}
        configuration = parsed(whole(7, route(1, priority=2), limits=limits)).configuration
        found = configuration.routes[0]
        self.assertEqual((found.name, found.service, found.timeout_ms, found.priority), ("r1", "s1", 3000, 2))
        self.assertEqual((found.max_attempts, found.stretch, found.target_latency_ms), (2, 1.5, 2000))
        self.assertEqual(configuration.services[0].max_connections, 64)
        self.assertEqual(configuration.limits.max_body_bytes, 1000)

    def test_what_may_be_left_out_has_defaults(self) -> None:
        bare = {"name": "r1", "host": "a", "pathPrefix": "/", "service": "s1", "timeoutMs": 10}
        body = json.dumps({"version": 7, "routes": [bare], "services": [{"name": "s1"}]}).encode()
        found = parsed(body).configuration.routes[0]
        self.assertEqual((found.priority, found.max_attempts, found.stretch), (0, 1, 1.0))

    def test_unknown_fields_and_the_bytes_stay_as_sent(self) -> None:
        body = whole(7, route(1, colour="red"), extra={"deep": [1, 2.50, None]})
        found = parsed(body)
        self.assertEqual(found.body, body)
        self.assertEqual(found.raw["extra"], {"deep": [1, 2.5, None]})

    def test_cut_at_every_byte_it_is_unreadable(self) -> None:
        body = whole(7, route(1))
        for length in range(len(body)):
            self.assertIsInstance(checks.check_full_configuration(body[:length], 0), InvalidConfiguration)

    def test_unreadable(self) -> None:
        for body in (b"", b"{", b"\xff\xfe", whole(7, route(1)) + b"x", b"[" * 100_000, b"[]", b"7", b"null"):
            self.assert_places(body, checks.WHOLE_DOCUMENT)

    def test_version(self) -> None:
        for version in (5, 4, 0, -1, "7", 7.0, True, None, 2**63):
            with self.subTest(version=version):
                self.assert_places(whole(version, route(1)), "version")
        self.assert_places(b'{"routes":[],"services":[]}', "version")

    def test_missing_lists(self) -> None:
        self.assert_places(b'{"version":7}', "routes", "services")

    def test_unknown_service(self) -> None:
        self.assert_places(whole(7, route(1), route(2, service="gone")), "routes[1].service")

    def test_shared_host_and_prefix(self) -> None:
        self.assert_places(whole(7, route(1), route(2, pathPrefix="/p1/")), "routes[1].pathPrefix")
        body = whole(7, route(1), route(2, pathPrefix="/p1/", host="SHOP.example"))
        self.assert_places(body, "routes[1].pathPrefix")
        parsed(whole(7, route(1), route(2, pathPrefix="/p1/", host="other.example")))

    def test_duplicate_names(self) -> None:
        self.assert_places(whole(7, route(1), route(1, pathPrefix="/q/")), "routes[1].name")
        self.assert_places(whole(7, services=[service(), service()]), "services[1].name")

    def test_timeouts(self) -> None:
        timeouts: list[object] = [0, -1, 0.0, "3000", None, True, []]
        for timeout in timeouts:
            with self.subTest(timeout=timeout):
                self.assert_places(whole(7, route(1), route(2, timeoutMs=timeout)), "routes[1].timeoutMs")
        without = route(1)
        del without["timeoutMs"]
        self.assert_places(whole(7, without), "routes[0].timeoutMs")

    def test_wrong_types(self) -> None:
        for field, value in (
            ("name", ""),
            ("name", 3),
            ("host", None),
            ("pathPrefix", "p/"),
            ("service", []),
            ("priority", -1),
            ("priority", 1.5),
            ("maxAttempts", "2"),
            ("stretch", "1.5"),
            ("targetLatencyMs", -1),
        ):
            with self.subTest(field=field, value=value):
                self.assert_places(whole(7, route(1, **{field: value})), f"routes[0].{field}")
        self.assert_places(whole(7, services=[service(preconditions="no")]), "services[0].preconditions")
        self.assert_places(whole(7, services=[service(maxConnections=True)]), "services[0].maxConnections")
        self.assert_places(whole(7, services=["s1"]), "services[0]")
        self.assert_places(whole(7, routes={}), "routes")
        self.assert_places(whole(7, limits=[]), "limits")
        self.assert_places(whole(7, limits={"maxBodyBytes": "1"}), "limits.maxBodyBytes")

    def test_many_problems_are_cut_short(self) -> None:
        checked = checks.check_full_configuration(whole(7, *[route(number, timeoutMs=0) for number in range(50)]), 0)
        self.assertTrue(str(checked).endswith("and 30 more"), str(checked))

    def test_if_match(self) -> None:
        texts = {"": 0, "0": 0, "7": 7, '"7"': 7, 'W/"7"': 7, " 7 ": 7, "x": None, "-1": None, "*": None, "7.0": None}
        self.assertEqual({text: checks.read_version(text) for text in texts}, texts)


class AcceptedTest(unittest.TestCase):
    """What was taken once is read without checks, and what can't have been taken is an error."""

    def test_it_reads_like_what_was_checked(self) -> None:
        for body in (whole(7, route(1), route(2, priority=1), colour="red"), whole(1)):
            self.assertEqual(checks.parse_accepted(body), parsed(body))

    def test_a_change_merges_like_one_that_was_checked(self) -> None:
        current = parsed(whole(7, route(1), route(2)))
        body = change(8, upsert={"routes": [route(2, timeoutMs=5)], "services": None}, remove={"routes": ["r1"]})
        self.assertEqual(checks.merge_accepted(body, current), checks.check_change(body, current))

    def test_what_is_no_configuration(self) -> None:
        current = parsed(whole(7, route(1)))
        for body in (b"", b"{", b"[]", b"{}", b'{"version":7}', whole(7, routes=7), whole(7, "x"), whole(7, limits=[])):  # type: ignore[arg-type]
            with self.subTest(body=body[:30]):
                self.assertRaises(ValueError, checks.parse_accepted, body)
        for body in (b"", b"{", b"[]", change(8, upsert={"routes": [{"name": "r2"}]})):
            with self.subTest(body=body[:30]):
                self.assertRaises(ValueError, checks.merge_accepted, body, current)


class ChangeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.current = parsed(whole(7, route(1), route(2), route(3), colour="red"))

    def merged(self, body: bytes) -> ParsedConfiguration:
        checked = checks.check_change(body, self.current)
        assert isinstance(checked, ParsedConfiguration), str(checked)
        return checked

    def problem(self, body: bytes) -> str:
        checked = checks.check_change(body, self.current)
        assert isinstance(checked, InvalidConfiguration), checked
        return checked.problems[0].location

    def names(self, body: bytes) -> list[str]:
        return [found.name for found in self.merged(body).configuration.routes]

    def test_items_are_replaced_in_place_and_added_at_the_end(self) -> None:
        body = change(9, upsert={"routes": [route(9), route(2, timeoutMs=50)]})
        self.assertEqual(self.names(body), ["r1", "r2", "r3", "r9"])
        self.assertEqual(self.merged(body).configuration.routes[1].timeout_ms, 50)

    def test_an_item_is_replaced_whole(self) -> None:
        bare = {"name": "r2", "host": "a", "pathPrefix": "/", "service": "s1", "timeoutMs": 10}
        self.assertEqual(self.merged(change(9, upsert={"routes": [bare]})).raw["routes"][1], bare)

    def test_items_are_removed_and_unknown_names_ignored(self) -> None:
        self.assertEqual(self.names(change(9, remove={"routes": ["r2", "never"]})), ["r1", "r3"])

    def test_a_name_both_removed_and_upserted_is_there(self) -> None:
        body = change(9, remove={"routes": ["r1"]}, upsert={"routes": [route(1)]})
        self.assertEqual(self.names(body), ["r2", "r3", "r1"])

    def test_a_service_comes_with_its_route(self) -> None:
        body = change(9, upsert={"routes": [route(4, service="s2")], "services": [service("s2")]})
        self.assertEqual([found.name for found in self.merged(body).configuration.services], ["s1", "s2"])

    def test_the_rest_is_kept_and_the_version_is_new(self) -> None:
        found = self.merged(change(9))
        self.assertEqual(found.raw, self.current.raw | {"version": 9})
        self.assertEqual(json.loads(found.body), found.raw)
        self.assertEqual(found.version, 9)

    def test_limits_are_replaced(self) -> None:
        self.assertEqual(self.merged(change(9, limits={"maxBodyBytes": 5})).raw["limits"], {"maxBodyBytes": 5})

    def test_null_is_an_empty_list(self) -> None:
        body = change(9, upsert=None, remove={"routes": None})
        self.assertEqual(self.names(body), ["r1", "r2", "r3"])

    def test_the_current_configuration_stays_as_it_is(self) -> None:
        before = json.dumps(self.current.raw)
        self.merged(change(9, upsert={"routes": [route(1, timeoutMs=9)]}, remove={"routes": ["r2"]}))
        self.assertEqual(json.dumps(self.current.raw), before)

    def test_the_outcome_is_checked_as_a_whole(self) -> None:
        self.assertEqual(self.problem(change(9, remove={"services": ["s1"]})), "routes[0].service")
        body = change(9, upsert={"routes": [route(4, pathPrefix="/p2/")]})
        self.assertEqual(self.problem(body), "routes[3].pathPrefix")
        self.assertEqual(self.problem(change(9, upsert={"routes": [route(4, timeoutMs=0)]})), "routes[3].timeoutMs")
        self.assertEqual(self.problem(change(7)), "version")
        self.assertEqual(self.problem(change(9, limits=3)), "limits")

    def test_wrong_shapes(self) -> None:
        for fields, location in (
            ({"upsert": []}, "upsert"),
            ({"upsert": {"routes": {}}}, "upsert.routes"),
            ({"upsert": {"routes": [3]}}, "upsert.routes[0]"),
            ({"upsert": {"routes": [{}]}}, "upsert.routes[0].name"),
            ({"upsert": {"routes": [route(4), route(4)]}}, "upsert.routes[1].name"),
            ({"remove": {"routes": "r1"}}, "remove.routes"),
            ({"remove": {"routes": [1]}}, "remove.routes[0]"),
            ({"routes": []}, "routes"),
        ):
            with self.subTest(fields=fields):
                self.assertEqual(self.problem(change(9, **fields)), location)
        self.assertEqual(self.problem(b'{"version":9,'), checks.WHOLE_DOCUMENT)
        self.assertEqual(self.problem(b"{}"), "version")

    def test_a_change_may_be_the_first(self) -> None:
        body = change(3, upsert={"routes": [route(1)], "services": [service()]})
        checked = checks.check_change(body, None)
        assert isinstance(checked, ParsedConfiguration)
        self.assertEqual(len(checked.configuration.routes), 1)


class MatchTest(unittest.TestCase):
    def setUp(self) -> None:
        routes = route(1, pathPrefix="/a/"), route(2, pathPrefix="/a/b/"), route(3, host="Other.example")
        self.configuration = parsed(whole(7, *routes)).configuration

    def name(self, host: str, path: str) -> str | None:
        found = self.configuration.match(host, path)
        return found.name if found else None

    def test_the_longest_prefix_of_that_host(self) -> None:
        self.assertEqual(self.name("shop.example", "/a/b/1"), "r2")
        self.assertEqual(self.name("shop.example:8080", "/a/c"), "r1")
        self.assertIsNone(self.name("shop.example", "/p3/"))
        self.assertEqual(self.name("OTHER.example", "/p3/"), "r3")


class ConfigurationServiceCase(unittest.TestCase):
    def setUp(self) -> None:
        self.replicator = HeldReplicator()
        self.configuration_service = self.new_keeper()
        self.operator = Answers(self.configuration_service.operator_call)

    def new_keeper(self) -> ConfigurationService:
        made = ConfigurationService(self.replicator, SilentLog())
        made.activated(self.replicator.term, self.replicator.state)
        return made

    def take_over(self) -> None:
        """Let another process become primary, with what is committed."""
        self.replicator.lose_writes()
        self.replicator.term += 1
        self.configuration_service = self.new_keeper()
        self.operator = Answers(self.configuration_service.operator_call)

    def committed(self, body: bytes, if_match: str) -> None:
        answers = Answers(self.configuration_service.operator_call).put(body, if_match)
        self.replicator.commit()
        self.assertEqual(answers.statuses, [200])


class OrderTest(ConfigurationServiceCase):
    def test_acknowledged_only_once_committed(self) -> None:
        self.operator.put(whole(7, route(1)), "0")
        self.assertEqual(self.operator.statuses, [])
        self.assertIsNone(self.configuration_service.current())
        self.replicator.commit()
        self.assertEqual(self.operator.statuses, [200])
        self.assertEqual(self.operator.last, {"version": 7})

    def test_the_first_may_leave_out_if_match(self) -> None:
        self.committed(whole(7, route(1)), "")

    def test_it_is_in_force_before_it_is_acknowledged(self) -> None:
        seen = list[str]()
        self.configuration_service.on_change(lambda configuration: seen.append(f"in force {configuration.version}"))
        self.configuration_service.operator_call(
            OperatorCall("PUT", "0", whole(7, route(1))), lambda reply: seen.append("acknowledged")
        )
        self.replicator.commit()
        self.assertEqual(seen, ["in force 7", "acknowledged"])

    def test_another_version_is_current(self) -> None:
        self.committed(whole(7, route(1)), "0")
        self.operator.put(whole(9, route(1)), "0").put(whole(9, route(1)), "8").put(whole(9, route(1)))
        self.assertEqual(self.operator.statuses, [412, 412, 412])
        self.assertEqual(len(self.replicator.batches), 1)

    def test_invalid_is_refused_and_nothing_written(self) -> None:
        self.operator.put(whole(7, route(1, timeoutMs=0)), "0").put(b"{", "0").put(whole(7, route(1)), "x")
        self.operator.patch(change(7, upsert={"routes": [route(1)]}), "0")
        self.assertEqual(self.operator.statuses, [400, 400, 400, 400])
        self.assertEqual(self.operator.last, {"error": "routes[0].service: no service is named 's1'"})
        self.assertEqual(self.replicator.batches, [])

    def test_version_not_above_the_current(self) -> None:
        self.committed(whole(7, route(1)), "0")
        self.operator.put(whole(7, route(2)), "7").patch(change(6), "7")
        self.assertEqual(self.operator.statuses, [400, 400])

    def test_too_large(self) -> None:
        self.operator.put(b" " * (checks.MAX_BODY_BYTES + 1), "0")
        self.assertEqual(self.operator.statuses, [413])

    def test_other_methods(self) -> None:
        self.configuration_service.operator_call(OperatorCall("DELETE"), self.operator.replies.append)
        self.assertEqual(self.operator.statuses, [405])

    def test_orders_are_pipelined(self) -> None:
        self.operator.put(whole(7, route(1)), "0").put(whole(9, route(2)), "7").patch(change(12), "9")
        self.assertEqual(self.operator.statuses, [])
        self.replicator.commit_one()
        self.assertEqual(self.configuration_service.current(), parsed(whole(7, route(1))).configuration)
        self.replicator.commit()
        versions = [json.loads(reply.body)["version"] for reply in self.operator.operator_replies]
        self.assertEqual(versions, [7, 9, 12])

    def test_of_two_on_one_version_one_wins(self) -> None:
        self.committed(whole(7, route(1)), "0")
        other = Answers(self.configuration_service.operator_call)
        self.operator.put(whole(9, route(2)), "7")
        other.put(whole(9, route(3)), "7")
        self.assertEqual(other.statuses, [])  # it rests on the winner, which may still be lost
        self.replicator.commit()
        self.assertEqual((self.operator.statuses, other.statuses), ([200], [412]))
        self.assertEqual([found.name for found in self.current().routes], ["r2"])

    def test_refused_for_a_winner_that_was_lost_is_no_answer(self) -> None:
        self.operator.put(whole(7, route(1)), "0")
        loser = Answers(self.configuration_service.operator_call).put(whole(8, route(2)), "0")
        self.configuration_service.deactivated()
        self.take_over()
        self.assertEqual(loser.statuses, [])
        self.committed(whole(8, route(2)), "0")

    def current(self) -> Configuration:
        found = self.configuration_service.current()
        assert found is not None
        return found


class RepeatTest(ConfigurationServiceCase):
    def test_while_the_first_is_being_committed(self) -> None:
        body = whole(7, route(1))
        self.operator.put(body, "0").put(body, "0")
        self.assertEqual(self.operator.statuses, [])
        self.replicator.commit()
        self.assertEqual(self.operator.statuses, [200, 200])
        self.assertEqual(len(self.replicator.batches), 1)

    def test_after_the_commit(self) -> None:
        body = whole(7, route(1))
        self.committed(body, "0")
        self.operator.put(body, "0")
        self.assertEqual(self.operator.statuses, [200])
        self.assertEqual(self.operator.last, {"version": 7})

    def test_after_later_changes_and_fail_overs(self) -> None:
        first, second = whole(7, route(1)), change(9, remove={"routes": ["r1"]})
        self.committed(first, "0")
        self.operator.patch(second, "7")
        self.replicator.commit()
        self.committed(whole(12, route(3)), "9")
        self.take_over()
        self.operator.put(first, "0").patch(second, "7")
        self.assertEqual(self.operator.statuses, [200, 200])
        self.assertEqual(len(self.replicator.batches), 3)

    def test_another_change_of_that_number_is_no_repeat(self) -> None:
        self.committed(whole(7, route(1)), "0")
        self.operator.put(whole(7, route(2)), "0")
        self.assertEqual(self.operator.statuses, [412])

    def test_the_method_and_if_match_are_part_of_an_order(self) -> None:
        body = whole(7, route(1))
        self.committed(body, "0")
        self.operator.put(body, "5").patch(body, "0")
        self.assertEqual(self.operator.statuses, [412, 412])

    def test_a_refused_order_may_be_taken_later(self) -> None:
        late = whole(9, route(2))
        self.operator.put(late, "7")
        self.assertEqual(self.operator.statuses, [412])
        self.committed(whole(7, route(1)), "0")
        self.committed(late, "7")

    def test_so_many_orders_are_kept(self) -> None:
        with mock.patch.object(configuration_service, "CHANGES_KEPT", 3):
            for version in range(1, 6):
                self.committed(whole(version, route(1)), str(version - 1))
        kept = sorted(key for key in self.replicator.state if key.startswith(configuration_service.CHANGE_PREFIX))
        self.assertEqual([int(key.removeprefix(configuration_service.CHANGE_PREFIX)) for key in kept], [3, 4, 5])
        self.take_over()
        self.operator.put(whole(3, route(1)), "2").put(whole(2, route(1)), "1")
        self.assertEqual(self.operator.statuses, [200, 412])

    def test_the_state_may_come_in_any_order(self) -> None:
        with mock.patch.object(configuration_service, "CHANGES_KEPT", 2):
            for version in (1, 2):
                self.committed(whole(version, route(1)), str(version - 1))
            self.replicator.state = dict(reversed(self.replicator.state.items()))
            self.take_over()
            self.committed(whole(3, route(1)), "2")
        kept = sorted(key for key in self.replicator.state if key.startswith(configuration_service.CHANGE_PREFIX))
        self.assertEqual([int(key.removeprefix(configuration_service.CHANGE_PREFIX)) for key in kept], [2, 3])

    def test_orders_go_on_counting_after_a_fail_over(self) -> None:
        self.committed(whole(7, route(1)), "0")
        self.take_over()
        self.committed(whole(8, route(1)), "7")
        self.assertEqual(
            len([key for key in self.replicator.state if key.startswith(configuration_service.CHANGE_PREFIX)]), 2
        )


class ReadBackTest(ConfigurationServiceCase):
    def test_nothing_yet(self) -> None:
        self.operator.get()
        self.assertEqual(self.operator.statuses, [404])

    def test_what_was_sent_comes_back(self) -> None:
        body = whole(7, route(1, colour="red"), other=[1])
        self.committed(body, "0")
        self.assertEqual(self.operator.get().last, json.loads(body))
        self.take_over()
        self.assertEqual(self.operator.get().last, json.loads(body))

    def test_a_change_comes_back_merged(self) -> None:
        self.committed(whole(7, route(1), route(2)), "0")
        self.operator.patch(change(9, upsert={"routes": [route(1, timeoutMs=5)]}, remove={"routes": ["r2"]}), "7")
        self.replicator.commit()
        expected = json.loads(whole(9, route(1, timeoutMs=5)))
        self.assertEqual(self.operator.get().last, expected)

    def test_an_answer_waits_for_what_was_written(self) -> None:
        self.committed(whole(7, route(1)), "0")
        self.configuration_service.operator_call(OperatorCall("PUT", "7", whole(9, route(2))), lambda reply: None)
        self.operator.get()
        self.assertEqual(self.operator.statuses, [])
        self.replicator.commit()
        self.assertEqual(self.operator.last["version"], 9)


class RoleTest(ConfigurationServiceCase):
    def test_only_the_primary_answers(self) -> None:
        self.committed(whole(7, route(1)), "0")
        self.replicator.leased = False
        self.operator.get().put(whole(7, route(1)), "0").put(b"{", "0")
        self.configuration_service.pull(PullRequest("n2"), self.operator.replies.append)
        self.assertEqual(self.operator.replies, [NotPrimary(self.replicator.view)] * 4)

    def test_a_lease_lost_while_an_answer_waits(self) -> None:
        """Another primary may have taken the order by now: refusing it would be a lie, and so would be an old read."""
        self.operator.put(whole(7, route(1)), "0")
        waiting = Answers(self.configuration_service.operator_call).put(whole(8, route(2)), "0").put(b"{", "0").get()
        self.replicator.leased = False
        self.replicator.commit()
        self.assertEqual(self.operator.statuses, [200])
        self.assertEqual(waiting.replies, [NotPrimary(self.replicator.view)] * 3)

    def test_deactivated_it_knows_nothing(self) -> None:
        self.committed(whole(7, route(1)), "0")
        self.configuration_service.deactivated()
        self.assertIsNone(self.configuration_service.current())
        self.operator.get()
        self.assertEqual(self.operator.statuses, [0])

    def test_listeners_hear_of_what_was_found(self) -> None:
        self.committed(whole(7, route(1)), "0")
        versions = list[int]()
        other = ConfigurationService(self.replicator, SilentLog())
        other.on_change(lambda configuration: versions.append(configuration.version))
        other.activated(2, self.replicator.state)
        self.assertEqual(versions, [7])


class PullCase(ConfigurationServiceCase):
    def setUp(self) -> None:
        super().setUp()
        self.world = World()
        self.handlers = Handlers()
        self.configuration_service.register(self.handlers)
        self.caller = ScriptedCaller(self.handlers)
        self.log = SilentLog()
        self.plane = DataPlane(clock_of(self.world), self.caller, "n5", self.log, Bounds())

    def replies(self) -> list[PullReply]:
        """What a node with the plane's last vector would get."""
        found = list[PullReply]()
        request = self.caller.requests[-1]
        self.handlers.call(request, lambda reply: found.append(reply) if isinstance(reply, PullReply) else None)
        return found


class PullTest(PullCase):
    def version(self) -> int:
        return self.plane.configuration.version if self.plane.configuration else 0

    def test_a_change_reaches_the_node_in_time(self) -> None:
        self.plane.start()
        self.committed(whole(7, route(1)), "0")
        self.world.run_for(Bounds().config_apply_ms / 1000.0 / 3)
        self.assertEqual(self.version(), 7)
        self.committed(whole(9, route(2)), "7")
        self.world.run_for(Bounds().config_apply_ms / 1000.0 / 3)
        self.assertEqual(self.version(), 9)

    def test_nothing_uncommitted_is_handed_out(self) -> None:
        self.operator.put(whole(7, route(1)), "0")
        self.plane.start()
        self.assertIsNone(self.plane.configuration)
        self.replicator.commit()
        self.operator.put(whole(9, route(2)), "7")
        self.world.run_for(1.0)
        self.assertEqual(self.version(), 7)

    def test_nothing_new_is_a_small_message(self) -> None:
        self.committed(whole(7, route(1)), "0")
        self.plane.start()
        self.world.run_for(1.0)
        self.assertEqual([reply.updates for reply in self.replies()], [[]])

    def test_a_short_bound_is_pulled_for_more_often(self) -> None:
        for apply_ms, least, most in ((2000.0, 20, 30), (300.0, 80, 125)):
            caller = ScriptedCaller(self.handlers)
            world = World()
            plane = DataPlane(clock_of(world), caller, "n", SilentLog(), Bounds(config_apply_ms=apply_ms))
            plane.start()
            world.run_for(10.0)
            self.assertTrue(least <= len(caller.requests) <= most, len(caller.requests))

    def test_nodes_spread_their_pulls(self) -> None:
        times = dict[str, float]()
        for name in ("n1", "n2", "n3"):
            world, caller = World(), ScriptedCaller(self.handlers)
            DataPlane(clock_of(world), caller, name, SilentLog(), Bounds()).start()
            world.run_while(lambda caller=caller: len(caller.requests) < 2, 5.0)  # type: ignore[misc]
            times[name] = world.time
        self.assertEqual(len(set(times.values())), 3)

    def test_versions_never_go_back(self) -> None:
        self.committed(whole(7, route(1)), "0")
        self.plane.start()
        scripted = ScriptedCaller()
        plane = DataPlane(clock_of(World()), scripted, "n6", SilentLog(), Bounds())
        seen = list[int]()
        plane.on_change(lambda configuration: seen.append(configuration.version))
        for version, body in ((9, whole(9, route(2))), (7, whole(7, route(1))), (9, whole(9, route(1)))):
            plane.start()
            scripted.answer(PullReply(1, [Update("config", version, body)]))
        self.assertEqual(seen, [9])
        assert plane.configuration is not None
        self.assertEqual([found.name for found in plane.configuration.routes], ["r2"])

    def test_age_counts_from_the_pull_that_was_answered(self) -> None:
        self.assertGreater(self.plane.age_s(), 1e9)
        self.plane.start()
        self.replicator.leased = False
        self.world.run_for(3.0)
        self.assertGreater(self.plane.age_s(), 2.5)
        self.replicator.leased = True
        self.world.run_for(0.5)
        self.assertLess(self.plane.age_s(), 0.5)

    def test_a_failed_pull_is_repeated_soon(self) -> None:
        self.replicator.leased = False
        self.plane.start()
        self.world.run_for(1.0)
        self.assertGreater(len(self.caller.requests), 6)

    def test_pulls_without_an_answer_are_told_now_and_then(self) -> None:
        self.committed(whole(7, route(1)), "0")
        self.plane.start()
        self.replicator.leased = False
        self.world.run_for(3.0)
        told = [fields["failures"] for event, fields in self.log.events if event == "pulls_unanswered"]
        self.assertEqual(told, [4, 8, 16])
        self.assertGreater(self.plane.failures, 16)
        self.replicator.leased = True
        self.world.run_for(0.5)
        self.assertEqual(self.plane.failures, 0)

    def test_unreadable_data_is_left_aside(self) -> None:
        scripted = ScriptedCaller()
        plane = DataPlane(clock_of(World()), scripted, "n6", self.log, Bounds())
        plane.start()
        scripted.answer(PullReply(1, [Update("config", 7, b"{"), Update("usage@1", 1, b"["), Update("new", 1, b"")]))
        self.assertIsNone(plane.configuration)
        self.assertIsNone(plane.usage)
        self.assertEqual([event for event, _ in self.log.events], ["dataset_unreadable"] * 2)

    def test_a_listener_that_fails_does_not_end_the_pulls(self) -> None:
        self.plane.on_change(lambda configuration: [][configuration.version])
        self.committed(whole(7, route(1)), "0")
        with self.assertRaises(IndexError):
            self.plane.start()
        self.world.run_for(1.0)
        self.assertGreater(len(self.caller.requests), 1)

    def test_stopped_it_pulls_no_more(self) -> None:
        self.plane.start()
        self.plane.stop()
        self.world.run_for(5.0)
        self.assertEqual(len(self.caller.requests), 1)

    def test_stopped_in_the_middle_of_a_pull(self) -> None:
        world, scripted = World(), ScriptedCaller()
        plane = DataPlane(clock_of(world), scripted, "n6", SilentLog(), Bounds())
        plane.start()
        plane.stop()
        scripted.answer(None)
        world.run_for(5.0)
        self.assertEqual(len(scripted.requests), 1)


class EarlierVersionTest(PullCase):
    """While versions change, nodes and primaries of the one before are there as well."""

    def test_a_node_that_knows_no_pieces_gets_the_configuration_as_it_is(self) -> None:
        body = whole(7, route(1))
        self.committed(body, "0")
        found: list[Struct] = []
        for held in ([], [DatasetVersion("config", 6)], [DatasetVersion("config", 7)]):
            self.handlers.call(PullRequest("old", held), found.append)
        updates = [reply.updates for reply in found if isinstance(reply, PullReply)]
        self.assertEqual(updates, [[Update("config", 7, body)], [Update("config", 7, body)], []])

    def test_a_primary_that_knows_no_pieces_is_understood(self) -> None:
        body = whole(7, route(1))
        self.handlers.on_call(PullRequest, lambda request, reply: reply(PullReply(1, [Update("config", 7, body)])))
        self.plane.start()
        assert self.plane.configuration is not None
        self.assertEqual(self.plane.configuration.version, 7)


class FollowingTest(PullCase):
    """Nodes that are brought up to date by changes, pieces and wholes hold what the primary holds."""

    def setUp(self) -> None:
        super().setUp()
        self.random = Random(3)

    def some_change(self, version: int) -> bytes:
        """A change as some operator might write it."""
        numbers = self.random.sample(range(40), 3)
        upserted = [route(number, timeoutMs=self.random.randint(1, 9), hue=version) for number in numbers[:2]]
        fields: dict[str, object] = {"upsert": {"routes": upserted, "services": None}}
        if self.random.random() < 0.5:
            fields["remove"] = {"routes": [f"r{numbers[2]}"]}
        if self.random.random() < 0.3:
            fields |= {"limits": {"maxBodyBytes": version}, "colour": version}
        return change(version, **fields)

    def order(self, version: int) -> None:
        """Have a change taken, or now and then a whole configuration."""
        if version == 1 or self.random.random() < 0.1:
            self.committed(whole(version, *[route(number) for number in range(30)]), str(version - 1))
            return
        self.operator.patch(self.some_change(version), str(version - 1))
        self.replicator.commit()
        self.assertEqual(self.operator.statuses[-1], 200)

    def test_every_field_follows(self) -> None:
        kinds = Counter[bool]()
        pieces = mock.patch.object(transfer, "PIECE_BYTES", 200)
        pieces.start()
        self.addCleanup(pieces.stop)
        self.plane.start()
        for version in range(1, 120):
            self.order(version)
            if self.random.random() < 0.1:
                self.take_over()
                self.configuration_service.register(self.handlers)
            if self.random.random() < 0.4:
                self.world.run_for(3.0)
                assert self.plane._parsed is not None
                self.assertEqual(self.plane._parsed.raw, json.loads(self.operator.get().replies[-1].body))  # type: ignore[attr-defined]
            kinds.update(update.base == 0 for update in self.replies()[0].updates)
        self.assertEqual([], [fields for event, fields in self.log.events if event == "dataset_unreadable"])
        self.assertGreater(min(kinds[True], kinds[False]), 10)


class UsageTest(PullCase):
    def usage(self, inflight: float) -> bytes:
        return QueueUsageReport({"s1": PoolUsage(20.0, 10.0, 2.0, {"r1": QueueLoad(inflight)})}).encode()

    def inflight(self) -> float:
        assert self.plane.usage is not None
        return self.plane.usage.pools["s1"].usages(0)["r1"].inflight

    def test_usage_is_pulled_when_it_changes(self) -> None:
        published = [(1, self.usage(3.0))]
        self.configuration_service.publish_usage(lambda: published[-1])
        self.plane.start()
        self.assertEqual(self.replies()[0].updates[0].origin, "usage@1")
        self.assertEqual(self.inflight(), 3.0)
        self.world.run_for(1.0)
        self.assertEqual([reply.updates for reply in self.replies()], [[]])
        published.append((2, self.usage(4.0)))
        self.world.run_for(1.0)
        self.assertEqual(self.inflight(), 4.0)
        self.assertEqual(self.plane.usage_revision, (1, 2))

    def test_a_new_primary_counts_anew(self) -> None:
        published = [(50, self.usage(3.0))]
        self.configuration_service.publish_usage(lambda: published[-1])
        self.plane.start()
        self.replicator.term = 2
        published.append((1, self.usage(6.0)))
        self.world.run_for(1.0)
        self.assertEqual(self.inflight(), 6.0)
        self.assertEqual(self.plane.usage_revision, (2, 1))

    def test_usage_of_an_older_term_is_dropped(self) -> None:
        scripted = ScriptedCaller()
        self.plane = DataPlane(clock_of(World()), scripted, "n6", SilentLog(), Bounds())
        for term, version, inflight in ((2, 5, 6.0), (1, 9, 1.0), (2, 4, 2.0)):
            self.plane.start()
            scripted.answer(PullReply(term, [Update(f"usage@{term}", version, self.usage(inflight))]))
        self.assertEqual(self.inflight(), 6.0)

    def test_usage_ages_while_a_new_primary_tells_none(self) -> None:
        published = [(1, self.usage(3.0))]
        self.configuration_service.publish_usage(lambda: published[-1])
        self.plane.start()
        self.handlers.on_call(PullRequest, lambda request, reply: reply(PullReply(2)))
        self.world.run_for(2.0)
        self.assertLess(self.plane.age_s(), 1.0)
        self.assertGreaterEqual(self.plane.usage_age_s(), 2.0)

    def test_usage_ages_when_its_primary_is_gone(self) -> None:
        self.configuration_service.publish_usage(lambda: (1, self.usage(3.0)))
        self.plane.start()
        self.replicator.leased = False
        self.world.run_for(2.0)
        self.assertGreaterEqual(self.plane.usage_age_s(), 2.0)


if __name__ == "__main__":
    unittest.main()
