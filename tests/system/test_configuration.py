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
    ManualCommitReplicator,
    RecordingLog,
    ScriptedCaller,
    change,
    clock_of,
    full_configuration,
    route,
    service,
)
from tests.system.virtual import World


def parsed(body: bytes) -> ParsedConfiguration:
    checked = checks.check_full_configuration(body, 0)
    assert isinstance(checked, ParsedConfiguration), str(checked)
    return checked


class FullConfigurationTest(unittest.TestCase):
    def assert_locations(self, body: bytes, *places: str) -> None:
        checked = checks.check_full_configuration(body, 5)
        assert isinstance(checked, InvalidConfiguration), checked
        self.assertEqual([problem.location for problem in checked.problems], list(places))

    def test_fields_are_converted_to_types(self) -> None:
        limits = {"maxBodyBytes": 1000, "idleTimeoutMs": 15000}
        configuration = parsed(full_configuration(7, route(1, priority=2), limits=limits)).configuration
        found = configuration.routes[0]
        self.assertEqual((found.name, found.service, found.timeout_ms, found.priority), ("r1", "s1", 3000, 2))
        self.assertEqual((found.max_attempts, found.stretch, found.target_latency_ms), (2, 1.5, 2000))
        self.assertEqual(configuration.services[0].max_connections, 64)
        self.assertEqual(configuration.limits.max_body_bytes, 1000)

    def test_optional_fields_have_defaults(self) -> None:
        bare = {"name": "r1", "host": "a", "pathPrefix": "/", "service": "s1", "timeoutMs": 10}
        body = json.dumps({"version": 7, "routes": [bare], "services": [{"name": "s1"}]}).encode()
        found = parsed(body).configuration.routes[0]
        self.assertEqual((found.priority, found.max_attempts, found.stretch), (0, 1, 1.0))

    def test_unknown_fields_and_the_body_are_kept_as_sent(self) -> None:
        body = full_configuration(7, route(1, colour="red"), extra={"deep": [1, 2.50, None]})
        found = parsed(body)
        self.assertEqual(found.body, body)
        self.assertEqual(found.raw["extra"], {"deep": [1, 2.5, None]})

    def test_a_body_truncated_at_any_byte_is_invalid(self) -> None:
        body = full_configuration(7, route(1))
        for length in range(len(body)):
            self.assertIsInstance(checks.check_full_configuration(body[:length], 0), InvalidConfiguration)

    def test_bodies_that_are_no_json_object_are_invalid(self) -> None:
        for body in (
            b"",
            b"{",
            b"\xff\xfe",
            full_configuration(7, route(1)) + b"x",
            b"[" * 100_000,
            b"[]",
            b"7",
            b"null",
        ):
            self.assert_locations(body, checks.WHOLE_DOCUMENT)

    def test_version(self) -> None:
        for version in (5, 4, 0, -1, "7", 7.0, True, None, 2**63):
            with self.subTest(version=version):
                self.assert_locations(full_configuration(version, route(1)), "version")
        self.assert_locations(b'{"routes":[],"services":[]}', "version")

    def test_missing_lists(self) -> None:
        self.assert_locations(b'{"version":7}', "routes", "services")

    def test_unknown_service(self) -> None:
        self.assert_locations(full_configuration(7, route(1), route(2, service="gone")), "routes[1].service")

    def test_shared_host_and_prefix(self) -> None:
        self.assert_locations(full_configuration(7, route(1), route(2, pathPrefix="/p1/")), "routes[1].pathPrefix")
        body = full_configuration(7, route(1), route(2, pathPrefix="/p1/", host="SHOP.example"))
        self.assert_locations(body, "routes[1].pathPrefix")
        parsed(full_configuration(7, route(1), route(2, pathPrefix="/p1/", host="other.example")))

    def test_duplicate_names(self) -> None:
        self.assert_locations(full_configuration(7, route(1), route(1, pathPrefix="/q/")), "routes[1].name")
        self.assert_locations(full_configuration(7, services=[service(), service()]), "services[1].name")

    def test_timeouts(self) -> None:
        timeouts: list[object] = [0, -1, 0.0, "3000", None, True, []]
        for timeout in timeouts:
            with self.subTest(timeout=timeout):
                self.assert_locations(
                    full_configuration(7, route(1), route(2, timeoutMs=timeout)), "routes[1].timeoutMs"
                )
        without = route(1)
        del without["timeoutMs"]
        self.assert_locations(full_configuration(7, without), "routes[0].timeoutMs")

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
                self.assert_locations(full_configuration(7, route(1, **{field: value})), f"routes[0].{field}")
        self.assert_locations(
            full_configuration(7, services=[service(preconditions="no")]), "services[0].preconditions"
        )
        self.assert_locations(
            full_configuration(7, services=[service(maxConnections=True)]), "services[0].maxConnections"
        )
        self.assert_locations(full_configuration(7, services=["s1"]), "services[0]")
        self.assert_locations(full_configuration(7, routes={}), "routes")
        self.assert_locations(full_configuration(7, limits=[]), "limits")
        self.assert_locations(full_configuration(7, limits={"maxBodyBytes": "1"}), "limits.maxBodyBytes")

    def test_only_the_first_problems_are_listed(self) -> None:
        checked = checks.check_full_configuration(
            full_configuration(7, *[route(number, timeoutMs=0) for number in range(50)]), 0
        )
        self.assertTrue(str(checked).endswith("and 30 more"), str(checked))

    def test_if_match(self) -> None:
        texts = {"": 0, "0": 0, "7": 7, '"7"': 7, 'W/"7"': 7, " 7 ": 7, "x": None, "-1": None, "*": None, "7.0": None}
        self.assertEqual({text: checks.read_version(text) for text in texts}, texts)


class ParseAcceptedTest(unittest.TestCase):
    """Accepted configurations are parsed without checks; bodies that can't have been accepted raise an error."""

    def test_parse_accepted_gives_the_same_as_the_check(self) -> None:
        for body in (full_configuration(7, route(1), route(2, priority=1), colour="red"), full_configuration(1)):
            self.assertEqual(checks.parse_accepted(body), parsed(body))

    def test_merge_accepted_gives_the_same_as_the_check(self) -> None:
        current = parsed(full_configuration(7, route(1), route(2)))
        body = change(8, upsert={"routes": [route(2, timeoutMs=5)], "services": None}, remove={"routes": ["r1"]})
        self.assertEqual(checks.merge_accepted(body, current), checks.check_change(body, current))

    def test_invalid_bodies_raise_value_error(self) -> None:
        current = parsed(full_configuration(7, route(1)))
        for body in (
            b"",
            b"{",
            b"[]",
            b"{}",
            b'{"version":7}',
            full_configuration(7, routes=7),
            full_configuration(7, "x"),  # type: ignore[arg-type]
            full_configuration(7, limits=[]),
        ):
            with self.subTest(body=body[:30]):
                self.assertRaises(ValueError, checks.parse_accepted, body)
        for body in (b"", b"{", b"[]", change(8, upsert={"routes": [{"name": "r2"}]})):
            with self.subTest(body=body[:30]):
                self.assertRaises(ValueError, checks.merge_accepted, body, current)


class ChangeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.current = parsed(full_configuration(7, route(1), route(2), route(3), colour="red"))

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

    def test_a_name_both_removed_and_upserted_is_kept(self) -> None:
        body = change(9, remove={"routes": ["r1"]}, upsert={"routes": [route(1)]})
        self.assertEqual(self.names(body), ["r2", "r3", "r1"])

    def test_a_service_can_be_added_with_its_route(self) -> None:
        body = change(9, upsert={"routes": [route(4, service="s2")], "services": [service("s2")]})
        self.assertEqual([found.name for found in self.merged(body).configuration.services], ["s1", "s2"])

    def test_other_fields_are_kept_and_the_version_is_new(self) -> None:
        found = self.merged(change(9))
        self.assertEqual(found.raw, self.current.raw | {"version": 9})
        self.assertEqual(json.loads(found.body), found.raw)
        self.assertEqual(found.version, 9)

    def test_limits_are_replaced(self) -> None:
        self.assertEqual(self.merged(change(9, limits={"maxBodyBytes": 5})).raw["limits"], {"maxBodyBytes": 5})

    def test_null_is_an_empty_list(self) -> None:
        body = change(9, upsert=None, remove={"routes": None})
        self.assertEqual(self.names(body), ["r1", "r2", "r3"])

    def test_the_current_configuration_is_not_modified(self) -> None:
        before = json.dumps(self.current.raw)
        self.merged(change(9, upsert={"routes": [route(1, timeoutMs=9)]}, remove={"routes": ["r2"]}))
        self.assertEqual(json.dumps(self.current.raw), before)

    def test_the_merged_configuration_is_checked(self) -> None:
        self.assertEqual(self.problem(change(9, remove={"services": ["s1"]})), "routes[0].service")
        body = change(9, upsert={"routes": [route(4, pathPrefix="/p2/")]})
        self.assertEqual(self.problem(body), "routes[3].pathPrefix")
        self.assertEqual(self.problem(change(9, upsert={"routes": [route(4, timeoutMs=0)]})), "routes[3].timeoutMs")
        self.assertEqual(self.problem(change(7)), "version")
        self.assertEqual(self.problem(change(9, limits=3)), "limits")

    def test_wrong_types_in_a_change(self) -> None:
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

    def test_the_first_configuration_may_be_a_change(self) -> None:
        body = change(3, upsert={"routes": [route(1)], "services": [service()]})
        checked = checks.check_change(body, None)
        assert isinstance(checked, ParsedConfiguration)
        self.assertEqual(len(checked.configuration.routes), 1)


class MatchTest(unittest.TestCase):
    def setUp(self) -> None:
        routes = route(1, pathPrefix="/a/"), route(2, pathPrefix="/a/b/"), route(3, host="Other.example")
        self.configuration = parsed(full_configuration(7, *routes)).configuration

    def name(self, host: str, path: str) -> str | None:
        found = self.configuration.match(host, path)
        return found.name if found else None

    def test_the_longest_prefix_of_the_host_matches(self) -> None:
        self.assertEqual(self.name("shop.example", "/a/b/1"), "r2")
        self.assertEqual(self.name("shop.example:8080", "/a/c"), "r1")
        self.assertIsNone(self.name("shop.example", "/p3/"))
        self.assertEqual(self.name("OTHER.example", "/p3/"), "r3")


class ConfigurationServiceCase(unittest.TestCase):
    def setUp(self) -> None:
        self.replicator = ManualCommitReplicator()
        self.configuration_service = self.new_service()
        self.operator = Answers(self.configuration_service.operator_call)

    def new_service(self) -> ConfigurationService:
        made = ConfigurationService(self.replicator, RecordingLog())
        made.activated(self.replicator.term, self.replicator.state)
        return made

    def fail_over(self) -> None:
        """Make another process primary, with the committed state."""
        self.replicator.lose_writes()
        self.replicator.term += 1
        self.configuration_service = self.new_service()
        self.operator = Answers(self.configuration_service.operator_call)

    def committed(self, body: bytes, if_match: str) -> None:
        answers = Answers(self.configuration_service.operator_call).put(body, if_match)
        self.replicator.commit()
        self.assertEqual(answers.statuses, [200])


class ChangeRequestTest(ConfigurationServiceCase):
    def test_a_change_is_acknowledged_only_once_committed(self) -> None:
        self.operator.put(full_configuration(7, route(1)), "0")
        self.assertEqual(self.operator.statuses, [])
        self.assertIsNone(self.configuration_service.current())
        self.replicator.commit()
        self.assertEqual(self.operator.statuses, [200])
        self.assertEqual(self.operator.last, {"version": 7})

    def test_the_first_change_may_leave_out_if_match(self) -> None:
        self.committed(full_configuration(7, route(1)), "")

    def test_a_change_is_in_force_before_it_is_acknowledged(self) -> None:
        events = list[str]()
        self.configuration_service.on_change(lambda configuration: events.append(f"in force {configuration.version}"))
        self.configuration_service.operator_call(
            OperatorCall("PUT", "0", full_configuration(7, route(1))), lambda reply: events.append("acknowledged")
        )
        self.replicator.commit()
        self.assertEqual(events, ["in force 7", "acknowledged"])

    def test_a_change_of_another_version_is_refused(self) -> None:
        self.committed(full_configuration(7, route(1)), "0")
        self.operator.put(full_configuration(9, route(1)), "0").put(full_configuration(9, route(1)), "8").put(
            full_configuration(9, route(1))
        )
        self.assertEqual(self.operator.statuses, [412, 412, 412])
        self.assertEqual(len(self.replicator.batches), 1)

    def test_an_invalid_change_is_refused_and_not_written(self) -> None:
        self.operator.put(full_configuration(7, route(1, timeoutMs=0)), "0").put(b"{", "0").put(
            full_configuration(7, route(1)), "x"
        )
        self.operator.patch(change(7, upsert={"routes": [route(1)]}), "0")
        self.assertEqual(self.operator.statuses, [400, 400, 400, 400])
        self.assertEqual(self.operator.last, {"error": "routes[0].service: no service is named 's1'"})
        self.assertEqual(self.replicator.batches, [])

    def test_a_version_not_above_the_current_one_is_refused(self) -> None:
        self.committed(full_configuration(7, route(1)), "0")
        self.operator.put(full_configuration(7, route(2)), "7").patch(change(6), "7")
        self.assertEqual(self.operator.statuses, [400, 400])

    def test_a_too_large_body_is_refused(self) -> None:
        self.operator.put(b" " * (checks.MAX_BODY_BYTES + 1), "0")
        self.assertEqual(self.operator.statuses, [413])

    def test_other_methods_are_refused(self) -> None:
        self.configuration_service.operator_call(OperatorCall("DELETE"), self.operator.replies.append)
        self.assertEqual(self.operator.statuses, [405])

    def test_change_requests_are_pipelined(self) -> None:
        self.operator.put(full_configuration(7, route(1)), "0").put(full_configuration(9, route(2)), "7").patch(
            change(12), "9"
        )
        self.assertEqual(self.operator.statuses, [])
        self.replicator.commit_one()
        self.assertEqual(self.configuration_service.current(), parsed(full_configuration(7, route(1))).configuration)
        self.replicator.commit()
        versions = [json.loads(reply.body)["version"] for reply in self.operator.operator_replies]
        self.assertEqual(versions, [7, 9, 12])

    def test_of_two_changes_of_one_version_one_wins(self) -> None:
        self.committed(full_configuration(7, route(1)), "0")
        other = Answers(self.configuration_service.operator_call)
        self.operator.put(full_configuration(9, route(2)), "7")
        other.put(full_configuration(9, route(3)), "7")
        self.assertEqual(other.statuses, [])  # the refusal depends on the winning write, which may still be lost
        self.replicator.commit()
        self.assertEqual((self.operator.statuses, other.statuses), ([200], [412]))
        self.assertEqual([found.name for found in self.current().routes], ["r2"])

    def test_a_refusal_is_not_sent_if_the_winning_change_was_lost(self) -> None:
        self.operator.put(full_configuration(7, route(1)), "0")
        loser = Answers(self.configuration_service.operator_call).put(full_configuration(8, route(2)), "0")
        self.configuration_service.deactivated()
        self.fail_over()
        self.assertEqual(loser.statuses, [])
        self.committed(full_configuration(8, route(2)), "0")

    def current(self) -> Configuration:
        found = self.configuration_service.current()
        assert found is not None
        return found


class RepeatedRequestTest(ConfigurationServiceCase):
    def test_a_repeat_while_the_first_request_is_being_committed(self) -> None:
        body = full_configuration(7, route(1))
        self.operator.put(body, "0").put(body, "0")
        self.assertEqual(self.operator.statuses, [])
        self.replicator.commit()
        self.assertEqual(self.operator.statuses, [200, 200])
        self.assertEqual(len(self.replicator.batches), 1)

    def test_a_repeat_after_the_commit(self) -> None:
        body = full_configuration(7, route(1))
        self.committed(body, "0")
        self.operator.put(body, "0")
        self.assertEqual(self.operator.statuses, [200])
        self.assertEqual(self.operator.last, {"version": 7})

    def test_repeats_after_later_changes_and_fail_overs(self) -> None:
        first, second = full_configuration(7, route(1)), change(9, remove={"routes": ["r1"]})
        self.committed(first, "0")
        self.operator.patch(second, "7")
        self.replicator.commit()
        self.committed(full_configuration(12, route(3)), "9")
        self.fail_over()
        self.operator.put(first, "0").patch(second, "7")
        self.assertEqual(self.operator.statuses, [200, 200])
        self.assertEqual(len(self.replicator.batches), 3)

    def test_another_change_with_the_same_version_is_no_repeat(self) -> None:
        self.committed(full_configuration(7, route(1)), "0")
        self.operator.put(full_configuration(7, route(2)), "0")
        self.assertEqual(self.operator.statuses, [412])

    def test_the_method_and_if_match_are_part_of_the_digest(self) -> None:
        body = full_configuration(7, route(1))
        self.committed(body, "0")
        self.operator.put(body, "5").patch(body, "0")
        self.assertEqual(self.operator.statuses, [412, 412])

    def test_a_refused_request_may_be_accepted_later(self) -> None:
        late = full_configuration(9, route(2))
        self.operator.put(late, "7")
        self.assertEqual(self.operator.statuses, [412])
        self.committed(full_configuration(7, route(1)), "0")
        self.committed(late, "7")

    def test_the_number_of_kept_changes_is_limited(self) -> None:
        with mock.patch.object(configuration_service, "CHANGES_KEPT", 3):
            for version in range(1, 6):
                self.committed(full_configuration(version, route(1)), str(version - 1))
        kept = sorted(key for key in self.replicator.state if key.startswith(configuration_service.CHANGE_PREFIX))
        self.assertEqual([int(key.removeprefix(configuration_service.CHANGE_PREFIX)) for key in kept], [3, 4, 5])
        self.fail_over()
        self.operator.put(full_configuration(3, route(1)), "2").put(full_configuration(2, route(1)), "1")
        self.assertEqual(self.operator.statuses, [200, 412])

    def test_replicated_state_may_be_in_any_order(self) -> None:
        with mock.patch.object(configuration_service, "CHANGES_KEPT", 2):
            for version in (1, 2):
                self.committed(full_configuration(version, route(1)), str(version - 1))
            self.replicator.state = dict(reversed(self.replicator.state.items()))
            self.fail_over()
            self.committed(full_configuration(3, route(1)), "2")
        kept = sorted(key for key in self.replicator.state if key.startswith(configuration_service.CHANGE_PREFIX))
        self.assertEqual([int(key.removeprefix(configuration_service.CHANGE_PREFIX)) for key in kept], [2, 3])

    def test_change_numbers_continue_after_a_fail_over(self) -> None:
        self.committed(full_configuration(7, route(1)), "0")
        self.fail_over()
        self.committed(full_configuration(8, route(1)), "7")
        self.assertEqual(
            len([key for key in self.replicator.state if key.startswith(configuration_service.CHANGE_PREFIX)]), 2
        )


class ReadBackTest(ConfigurationServiceCase):
    def test_a_read_without_a_configuration(self) -> None:
        self.operator.get()
        self.assertEqual(self.operator.statuses, [404])

    def test_a_configuration_is_read_back_as_sent(self) -> None:
        body = full_configuration(7, route(1, colour="red"), other=[1])
        self.committed(body, "0")
        self.assertEqual(self.operator.get().last, json.loads(body))
        self.fail_over()
        self.assertEqual(self.operator.get().last, json.loads(body))

    def test_a_change_is_read_back_merged(self) -> None:
        self.committed(full_configuration(7, route(1), route(2)), "0")
        self.operator.patch(change(9, upsert={"routes": [route(1, timeoutMs=5)]}, remove={"routes": ["r2"]}), "7")
        self.replicator.commit()
        expected = json.loads(full_configuration(9, route(1, timeoutMs=5)))
        self.assertEqual(self.operator.get().last, expected)

    def test_a_read_waits_for_earlier_writes(self) -> None:
        self.committed(full_configuration(7, route(1)), "0")
        self.configuration_service.operator_call(
            OperatorCall("PUT", "7", full_configuration(9, route(2))), lambda reply: None
        )
        self.operator.get()
        self.assertEqual(self.operator.statuses, [])
        self.replicator.commit()
        self.assertEqual(self.operator.last["version"], 9)


class RoleTest(ConfigurationServiceCase):
    def test_only_the_primary_answers(self) -> None:
        self.committed(full_configuration(7, route(1)), "0")
        self.replicator.holds_lease = False
        self.operator.get().put(full_configuration(7, route(1)), "0").put(b"{", "0")
        self.configuration_service.pull(PullRequest("n2"), self.operator.replies.append)
        self.assertEqual(self.operator.replies, [NotPrimary(self.replicator.view)] * 4)

    def test_a_lease_lost_while_an_answer_waits_for_a_commit(self) -> None:
        """Another primary may have accepted the request by now: a refusal could be wrong, and a read outdated."""
        self.operator.put(full_configuration(7, route(1)), "0")
        waiting = (
            Answers(self.configuration_service.operator_call)
            .put(full_configuration(8, route(2)), "0")
            .put(b"{", "0")
            .get()
        )
        self.replicator.holds_lease = False
        self.replicator.commit()
        self.assertEqual(self.operator.statuses, [200])
        self.assertEqual(waiting.replies, [NotPrimary(self.replicator.view)] * 3)

    def test_a_deactivated_service_has_no_configuration(self) -> None:
        self.committed(full_configuration(7, route(1)), "0")
        self.configuration_service.deactivated()
        self.assertIsNone(self.configuration_service.current())
        self.operator.get()
        self.assertEqual(self.operator.statuses, [0])

    def test_listeners_are_notified_of_the_stored_configuration(self) -> None:
        self.committed(full_configuration(7, route(1)), "0")
        versions = list[int]()
        other = ConfigurationService(self.replicator, RecordingLog())
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
        self.log = RecordingLog()
        self.plane = DataPlane(clock_of(self.world), self.caller, "n5", self.log, Bounds())

    def replies(self) -> list[PullReply]:
        """Return the answers to a repetition of the data plane's last pull."""
        found = list[PullReply]()
        request = self.caller.requests[-1]
        self.handlers.call(request, lambda reply: found.append(reply) if isinstance(reply, PullReply) else None)
        return found


class PullTest(PullCase):
    def version(self) -> int:
        return self.plane.configuration.version if self.plane.configuration else 0

    def test_a_change_reaches_the_node_in_time(self) -> None:
        self.plane.start()
        self.committed(full_configuration(7, route(1)), "0")
        self.world.run_for(Bounds().config_apply_ms / 1000.0 / 3)
        self.assertEqual(self.version(), 7)
        self.committed(full_configuration(9, route(2)), "7")
        self.world.run_for(Bounds().config_apply_ms / 1000.0 / 3)
        self.assertEqual(self.version(), 9)

    def test_uncommitted_changes_are_not_handed_out(self) -> None:
        self.operator.put(full_configuration(7, route(1)), "0")
        self.plane.start()
        self.assertIsNone(self.plane.configuration)
        self.replicator.commit()
        self.operator.put(full_configuration(9, route(2)), "7")
        self.world.run_for(1.0)
        self.assertEqual(self.version(), 7)

    def test_the_answer_is_empty_if_nothing_is_new(self) -> None:
        self.committed(full_configuration(7, route(1)), "0")
        self.plane.start()
        self.world.run_for(1.0)
        self.assertEqual([reply.updates for reply in self.replies()], [[]])

    def test_pulls_are_more_frequent_with_a_short_apply_time(self) -> None:
        for apply_ms, least, most in ((2000.0, 20, 30), (300.0, 80, 125)):
            caller = ScriptedCaller(self.handlers)
            world = World()
            plane = DataPlane(clock_of(world), caller, "n", RecordingLog(), Bounds(config_apply_ms=apply_ms))
            plane.start()
            world.run_for(10.0)
            self.assertTrue(least <= len(caller.requests) <= most, len(caller.requests))

    def test_nodes_pull_at_different_times(self) -> None:
        times = dict[str, float]()
        for name in ("n1", "n2", "n3"):
            world, caller = World(), ScriptedCaller(self.handlers)
            DataPlane(clock_of(world), caller, name, RecordingLog(), Bounds()).start()
            world.run_while(lambda caller=caller: len(caller.requests) < 2, 5.0)  # type: ignore[misc]
            times[name] = world.time
        self.assertEqual(len(set(times.values())), 3)

    def test_versions_never_go_back(self) -> None:
        self.committed(full_configuration(7, route(1)), "0")
        self.plane.start()
        scripted = ScriptedCaller()
        plane = DataPlane(clock_of(World()), scripted, "n6", RecordingLog(), Bounds())
        events = list[int]()
        plane.on_change(lambda configuration: events.append(configuration.version))
        for version, body in (
            (9, full_configuration(9, route(2))),
            (7, full_configuration(7, route(1))),
            (9, full_configuration(9, route(1))),
        ):
            plane.start()
            scripted.answer(PullReply(1, [Update("config", version, body)]))
        self.assertEqual(events, [9])
        assert plane.configuration is not None
        self.assertEqual([found.name for found in plane.configuration.routes], ["r2"])

    def test_age_counts_from_the_pull_that_was_answered(self) -> None:
        self.assertGreater(self.plane.age_s(), 1e9)
        self.plane.start()
        self.replicator.holds_lease = False
        self.world.run_for(3.0)
        self.assertGreater(self.plane.age_s(), 2.5)
        self.replicator.holds_lease = True
        self.world.run_for(0.5)
        self.assertLess(self.plane.age_s(), 0.5)

    def test_a_failed_pull_is_retried_soon(self) -> None:
        self.replicator.holds_lease = False
        self.plane.start()
        self.world.run_for(1.0)
        self.assertGreater(len(self.caller.requests), 6)

    def test_unanswered_pulls_are_logged_at_each_doubling(self) -> None:
        self.committed(full_configuration(7, route(1)), "0")
        self.plane.start()
        self.replicator.holds_lease = False
        self.world.run_for(3.0)
        logged = [fields["failures"] for event, fields in self.log.events if event == "pulls_unanswered"]
        self.assertEqual(logged, [4, 8, 16])
        self.assertGreater(self.plane.failures, 16)
        self.replicator.holds_lease = True
        self.world.run_for(0.5)
        self.assertEqual(self.plane.failures, 0)

    def test_unreadable_data_is_ignored(self) -> None:
        scripted = ScriptedCaller()
        plane = DataPlane(clock_of(World()), scripted, "n6", self.log, Bounds())
        plane.start()
        scripted.answer(PullReply(1, [Update("config", 7, b"{"), Update("usage@1", 1, b"["), Update("new", 1, b"")]))
        self.assertIsNone(plane.configuration)
        self.assertIsNone(plane.usage)
        self.assertEqual([event for event, _ in self.log.events], ["dataset_unreadable"] * 2)

    def test_a_failing_listener_does_not_stop_the_pulls(self) -> None:
        self.plane.on_change(lambda configuration: [][configuration.version])
        self.committed(full_configuration(7, route(1)), "0")
        with self.assertRaises(IndexError):
            self.plane.start()
        self.world.run_for(1.0)
        self.assertGreater(len(self.caller.requests), 1)

    def test_a_stopped_data_plane_does_not_pull(self) -> None:
        self.plane.start()
        self.plane.stop()
        self.world.run_for(5.0)
        self.assertEqual(len(self.caller.requests), 1)

    def test_a_stop_during_a_pull(self) -> None:
        world, scripted = World(), ScriptedCaller()
        plane = DataPlane(clock_of(world), scripted, "n6", RecordingLog(), Bounds())
        plane.start()
        plane.stop()
        scripted.answer(None)
        world.run_for(5.0)
        self.assertEqual(len(scripted.requests), 1)


class PreviousReleaseTest(PullCase):
    """During an upgrade, nodes and primaries of the previous release run as well."""

    def test_a_node_without_support_for_pieces_gets_the_plain_configuration(self) -> None:
        body = full_configuration(7, route(1))
        self.committed(body, "0")
        found: list[Struct] = []
        for held in ([], [DatasetVersion("config", 6)], [DatasetVersion("config", 7)]):
            self.handlers.call(PullRequest("old", held), found.append)
        updates = [reply.updates for reply in found if isinstance(reply, PullReply)]
        self.assertEqual(updates, [[Update("config", 7, body)], [Update("config", 7, body)], []])

    def test_an_answer_without_pieces_is_understood(self) -> None:
        body = full_configuration(7, route(1))
        self.handlers.on_call(PullRequest, lambda request, reply: reply(PullReply(1, [Update("config", 7, body)])))
        self.plane.start()
        assert self.plane.configuration is not None
        self.assertEqual(self.plane.configuration.version, 7)


class ReplicatedContentTest(PullCase):
    """A node updated by changes, pieces and full transfers has the same configuration as the primary."""

    def setUp(self) -> None:
        super().setUp()
        self.random = Random(3)

    def some_change(self, version: int) -> bytes:
        """Return a random change as an operator might write it."""
        numbers = self.random.sample(range(40), 3)
        upserted = [route(number, timeoutMs=self.random.randint(1, 9), hue=version) for number in numbers[:2]]
        fields: dict[str, object] = {"upsert": {"routes": upserted, "services": None}}
        if self.random.random() < 0.5:
            fields["remove"] = {"routes": [f"r{numbers[2]}"]}
        if self.random.random() < 0.3:
            fields |= {"limits": {"maxBodyBytes": version}, "colour": version}
        return change(version, **fields)

    def order(self, version: int) -> None:
        """Commit a random change or, now and then, a full configuration."""
        if version == 1 or self.random.random() < 0.1:
            self.committed(full_configuration(version, *[route(number) for number in range(30)]), str(version - 1))
            return
        self.operator.patch(self.some_change(version), str(version - 1))
        self.replicator.commit()
        self.assertEqual(self.operator.statuses[-1], 200)

    def test_every_field_is_the_same_as_on_the_primary(self) -> None:
        kinds = Counter[bool]()
        pieces = mock.patch.object(transfer, "PIECE_BYTES", 200)
        pieces.start()
        self.addCleanup(pieces.stop)
        self.plane.start()
        for version in range(1, 120):
            self.order(version)
            if self.random.random() < 0.1:
                self.fail_over()
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

    def test_a_new_primary_starts_a_new_count(self) -> None:
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
        self.plane = DataPlane(clock_of(World()), scripted, "n6", RecordingLog(), Bounds())
        for term, version, inflight in ((2, 5, 6.0), (1, 9, 1.0), (2, 4, 2.0)):
            self.plane.start()
            scripted.answer(PullReply(term, [Update(f"usage@{term}", version, self.usage(inflight))]))
        self.assertEqual(self.inflight(), 6.0)

    def test_usage_ages_while_a_new_primary_reports_none(self) -> None:
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
        self.replicator.holds_lease = False
        self.world.run_for(2.0)
        self.assertGreaterEqual(self.plane.usage_age_s(), 2.0)


if __name__ == "__main__":
    unittest.main()
