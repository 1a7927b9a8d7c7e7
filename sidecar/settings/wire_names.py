"""The names of settings in the simulator's wire protocol and in the configuration file."""

from __future__ import annotations

from sidecar.settings.mapping_reader import NameTable
from sidecar.settings.model import Idempotency, ReportSource, Settings
from sidecar.settings.parsing import parse_settings

WIRE_NAMES = NameTable(
    keys={
        "settings": {
            "classes": "lanes",
            "tenants": "realms",
            "zone": "zone",
            "instance_index": "me",
            "sidecar_count": "groupSize",
            "tick_us": "quantumUs",
            "discovery": "discovery",
            "weights": "weights",
            "weight_basis": "worthBy",
            "over_share_weight": "overShareWorth",
            "report": "report",
            "warm_keys": "domain.warmKeys",
            "limits": "bounds",
            "rules": "guarantees",
            "prices": "prices",
        },
        "classes": {
            "name": "name",
            "deadline_us": "giveUpUs",
            "latency_target_us": "promiseUs",
            "priority_weight": "worth",
            "late_weight": "lateValue",
            "idempotency": "repeat",
            "dedup_scope": "group",
            "dedup_window_us": "memorySpanUs",
            "streaming": "streaming",
            "latency_target_stretch": "aimStretch",
            "ordered_by_key": "byArrival",
        },
        "tenants": {
            "name": "name",
            "share": "portion",
            "quota_per_s": "quotaRps",
        },
        "report": {
            "source": "source",
            "columns": "columns",
        },
        "limits": {
            "max_attempts": "sendCap",
            "allow_hedging": "secondCopies",
            "allow_cancel": "mayCancel",
            "allow_probes": "probing",
            "allow_messages": "mayTell",
            "retry_after": "retryAfter",
            "max_retry_after_us": "maxRetryAfterUs",
            "dial_timeout_us": "dialTimeoutUs",
            "idle_close_us": "idleCloseUs",
            "streams_per_connection": "streamsPerConn",
        },
        "rules": {
            "answer_slack_us": "answerSlackUs",
            "max_poll_interval_us": "askWithinUs",
            "drain_grace_us": "drainGraceUs",
            "slow_start_from": "coldFrom",
            "slow_start_us": "coldUs",
            "overload_multiple": "fallMultiple",
            "overload_window_us": "fallUs",
            "late_shedding": "lateShedding",
            "key_cooldown_us": "turnGapUs",
        },
        "prices": {
            "cross_zone": "crossZone",
            "probe": "probe",
            "message": "peer",
            "waste": "waste",
            "handshake": "handshake",
            "connection": "connection",
        },
    },
    enum_values={
        Idempotency.SAFE: "read_like",
        Idempotency.KEYED: "idempotency_key",
        Idempotency.UNSAFE: "non_idempotent",
        ReportSource.ANSWERS: "piggyback",
        ReportSource.PROBES: "pull",
    },
)


def settings_from_wire(value: object) -> Settings:
    """Read the settings object of the wire protocol or of a configuration file.

    Args:
        value: The object.  Unknown keys are ignored, and null counts as absent.

    Returns:
        The settings.

    Raises:
        ConfigurationError: A value is invalid; the message names the path of its key, such as
            `settings.guarantees.turnGapUs`.
    """
    return parse_settings(value, WIRE_NAMES, "settings")
