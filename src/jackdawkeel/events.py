"""The events that processes log."""

from __future__ import annotations

from enum import StrEnum


class EventName(StrEnum):
    """Every kind of event; its value is the ``message_type`` of the log line."""

    PROCESS_STARTED = "process_started"
    READY = "ready"
    REQUIREMENTS_SETTLED = "requirements_settled"
    DRAINING = "draining"
    PROCESS_STOPPED = "process_stopped"
    INTERNAL_ERROR = "internal_error"
    EVENTS_DROPPED = "events_dropped"

    LINK_REDIALED = "link_redialed"
    MESSAGE_DROPPED = "message_dropped"

    JOB_ADMITTED = "job_admitted"
    JOB_REFUSED = "job_refused"
    JOB_JOINED = "job_joined"
    JOB_RELEASED = "job_released"
    JOB_ENDED = "job_ended"
    TASK_DISPATCHED = "task_dispatched"
    TASK_STARTED = "task_started"
    TASK_ENDED = "task_ended"

    TICKET_ACCEPTED = "ticket_accepted"
    TICKET_REFUSED = "ticket_refused"
    CONFIGURATION_APPLIED = "configuration_applied"
    LEASE_RENEWED = "lease_renewed"
    LEASE_LOST = "lease_lost"

    AGENT_HEARD = "agent_heard"
    AGENT_SILENT = "agent_silent"
    AGENT_LEAVING = "agent_leaving"
    AGENT_UNREACHABLE = "agent_unreachable"
    AGENT_LOST = "agent_lost"
    CLIENTS_REFUSED = "clients_refused"
    CALLER_DISCONNECTED = "caller_disconnected"
    CONNECTIVITY_RESTORED = "connectivity_restored"
    TARGET_EJECTED = "target_ejected"
    TARGET_READMITTED = "target_readmitted"

    SETTINGS_RELOADED = "settings_reloaded"
    QUEUES_APPLIED = "queues_applied"
    ZONES_EVACUATED = "zones_evacuated"
    OWNER_HEARD = "owner_heard"
    OWNER_SILENT = "owner_silent"
    TARGET_HEARD = "target_heard"
    TARGET_DRAINING = "target_draining"
    TARGET_GONE = "target_gone"
    TARGET_UNREACHABLE = "target_unreachable"
    TARGET_REACHED = "target_reached"
    TARGET_CRASHED = "target_crashed"
    TASK_STOPPING = "task_stopping"
    TASK_RUN = "task_run"
    TASK_MOVED = "task_moved"
    TARGETS_SUSPECTED = "targets_suspected"
    TASK_REFUSED = "task_refused"
    TASK_GIVEN_UP = "task_given_up"
    QUEUES_CONFINED = "queues_confined"
    RUN_TIME_FACTOR_CHANGED = "run_time_factor_changed"

    STORE_REACHED = "store_reached"
    STORE_UNREACHABLE = "store_unreachable"
