"""Translation of the operator's settings object (JSON) to Settings; used by the simulator's adapter and the node."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

from pipitledge.decision import interface as api

REPEATS = {"free": api.Repeat.SAFE, "guarded": api.Repeat.KEYED, "single_shot": api.Repeat.UNSAFE}
STATES = {"in_service": api.State.SERVING, "terminating": api.State.DRAINING, "terminated": api.State.GONE}
# Field names of load reports, on the simulator's wire and on sockets, and the names that the policy uses for them.
REPORT_FIELD_NAMES = {
    "rif": "inflight",
    "q": "queued",
    "queue": "queued",
    "busy": "utilisation",
    "util": "utilisation",
    "lat_ms": "latency_ms",
    "rate": "rate",
    "qps": "rate",
    "fail_rate": "failure_rate",
    "eps": "failure_rate",
}


# Every documented setting, by its path in the settings object; docs/design/deployments.md says which component reads
# it. Settings that no component reads are listed too: a node ignores them on purpose, so they are not unknown.
KNOWN_KEYS: dict[str, frozenset[str]] = {
    path: frozenset(names.split())
    for path, names in {
        "": "n_instances lanes clients discovery service_type specifics goal shapes permissions my_number "
        "over_share_worth prices report rules realms resolution_ms layer layers weights value_by zone zones",
        "lanes[]": "aim_stretch objective_ms deadline_ms repeat dedup_scope late_share name stream window_ms worth",
        "clients": "marks_retry",
        "specifics": "class_kind class_priority class_stretch memory_unit notes progress_ms queue_order report_x0 "
        "report_x1 tells_start",
        "goal": "whole worst_class worst_tenant worst_window",
        "permissions": "cancel conn_idle_ms dial_timeout_ms cpu_us_per_request cpu_us_per_s max_attempts max_open "
        "max_retry_after_ms peers probes retry_after second_copies streams_per_conn",
        "prices": "connection cross_zone discovery fleet handshake late_fail moves origin peer probe waste",
        "report": "fields source",
        "rules": "grace_to_answer_ms ask_every_ms cold_share cold_ms drain_grace_ms overload_factor fall_ms",
        "realms[]": "name quota_per_s share",
    }.items()
}
ALLOWED_VALUES = {
    "discovery": ("ask", "push"),
    "weights": ("none", "nominal", "rough", "live"),
    "value_by": ("request", "work"),
    "report.source": ("answers", "probe", "none"),
    "specifics.queue_order": ("fifo", "backfill", "priority"),
}


def unknown_settings(raw: Mapping[str, Any]) -> list[str]:
    """Return the paths of undocumented settings, and path=value for undocumented values, each once and sorted."""
    found = list[str]()

    def walk(path: str, part: Any) -> None:
        if isinstance(part, Mapping) and path in KNOWN_KEYS:
            for name, value in part.items():
                full_path = f"{path}.{name}" if path else str(name)
                if name not in KNOWN_KEYS[path]:
                    found.append(full_path)
                elif full_path in ALLOWED_VALUES and value not in ALLOWED_VALUES[full_path]:
                    found.append(f"{full_path}={str(value)[:40]}")
                else:
                    walk(full_path, value)
        elif isinstance(part, list) and f"{path}[]" in KNOWN_KEYS:
            for entry in part:
                walk(f"{path}[]", entry)

    walk("", raw)
    return sorted({*found})


def parse_settings(text: str) -> api.Settings:
    """Parse the settings object from its JSON text."""
    return settings_from(json.loads(text))


def settings_from(raw: Mapping[str, Any]) -> api.Settings:
    """Translate the settings object; absent keys keep the defaults stated in Settings."""
    allow, rules, specifics = raw.get("permissions", {}), raw.get("rules", {}), raw.get("specifics", {})
    report, goal, prices = raw.get("report", {}), raw.get("goal", {}), raw.get("prices", {})
    extras = {"x0": specifics.get("report_x0", ""), "x1": specifics.get("report_x1", "")}
    free = [name for name, meaning in extras.items() if "slot" in meaning]
    source = report.get("source", "none")
    fields = (report.get("fields") or ()) if source != "none" else ()

    def of_class(name: str, index: int, default: float) -> float:
        values = specifics.get(name) or []
        return values[index] if index < len(values) else default

    classes = tuple(
        api.JobClass(
            deadline_ms=lane.get("deadline_ms", 10_000.0),
            objective_ms=lane.get("objective_ms", lane.get("deadline_ms", 10_000.0)),
            stretch=of_class("class_stretch", index, lane.get("aim_stretch", 0.0)),
            late_share=lane.get("late_share", 0.0),
            worth=lane.get("worth", 1.0),
            repeat=REPEATS.get(lane.get("repeat", ""), api.Repeat.UNSAFE),
            scope=api.Scope(lane.get("dedup_scope") or "cell"),
            window_ms=lane.get("window_ms", 0.0),
            kind=int(of_class("class_kind", index, -1)),
            priority=of_class("class_priority", index, 0.0),
        )
        for index, lane in enumerate(raw.get("lanes", []))
    )
    tenants = tuple(
        api.Tenant(realm.get("share", 1.0), realm.get("quota_per_s", 0.0)) for realm in raw.get("realms") or []
    )
    return api.Settings(
        classes=classes,
        tenants=tenants or (api.Tenant(),),
        kinds=max(1, len(raw.get("shapes") or [])),
        zones=max(1, len(raw.get("zones") or [])),
        zone=raw.get("zone", 0),
        instances=raw.get("n_instances", 1),
        number=raw.get("my_number", 0),
        # If discovery is unstated or unknown: requesting the list, with backoff, works with both kinds.
        must_subscribe=raw.get("discovery") != "push",
        probes=bool(allow.get("probes")),
        cancel=bool(allow.get("cancel")),
        second_copies=bool(allow.get("second_copies")),
        max_attempts=allow.get("max_attempts", 1),
        retry_after=bool(allow.get("retry_after")),
        max_retry_after_ms=allow.get("max_retry_after_ms", 0.0),
        over_share_worth=raw.get("over_share_worth", 1.0),
        value_by_work=raw.get("value_by") == "work",
        objective=api.ObjectiveWeights(
            goal.get("whole", 1.0), goal.get("worst_class", 0.0), goal.get("worst_tenant", 0.0)
        ),
        cross_zone_price=prices.get("cross_zone", 0.0),
        probe_price=prices.get("probe", 0.0),
        live_weights=raw.get("weights") == "live",
        report_fields=tuple(REPORT_FIELD_NAMES.get(name, name) for name in fields),
        reports_with_answers=source == "answers",
        free_slots_field=free[0] if free else "",
        reports_memory="x1" in fields,
        reports_starts=bool(specifics.get("tells_start")),
        progress_ms=specifics.get("progress_ms", 0.0),
        starts_in_order=specifics.get("queue_order") == "fifo"
        and bool(specifics.get("tells_start") and allow.get("cancel")),
        resolution_ms=raw.get("resolution_ms", 1.0),
        ask_every_ms=rules.get("ask_every_ms", 10_000.0),
        drain_grace_ms=rules.get("drain_grace_ms", 300.0),
        cold_share=rules.get("cold_share", 0.1),
        cold_ms=rules.get("cold_ms", 20_000.0),
        overload_factor=rules.get("overload_factor", 2.0),
        fall_ms=rules.get("fall_ms", 1_000.0),
    )
