"""Leases between entries, agents and targets.

An entry owns the assignments that it sent. An agent runs them while it receives
messages from the entry, and its target runs them while it receives calls from the
agent. A caller whose entry failed resubmits the job after about 1.3 s, so both leases
together must expire before that. A target whose runs do not end when they are stopped
gets no further lease, so they end at most ``TARGET_LEASE_S`` after they had to.

The lease of a target is measured on its steady clock, which stands still while its VM
is suspended. Nobody else can tell a suspended VM from one that has failed.
"""

from __future__ import annotations


# The sum of both leases is below the resubmission delay of the deployments, 1.3 s.
OWNER_LEASE_S = 0.7
TARGET_LEASE_S = 0.5
# Longest lease that a target grants, also for a request that was meant for an earlier
# incarnation, whose clock was ahead.
MAX_TARGET_LEASE_S = 1.0
# Fraction by which the clock of a target may run slow; the platform's bound is 2%.
TARGET_CLOCK_DRIFT = 0.03
# Time after which the target's lease ends if a run that had to end has not ended. A
# lost call and its repetition fit into it, and it is below TARGET_LEASE_S.
STOP_EFFECT_TIMEOUT_S = 0.3
# Longest suspension of a VM during which its runs are not started elsewhere; twice the
# longest freeze that the deployments specify.
MAX_SUSPENSION_S = 8.0
# Time that a target needs to stop a task, including the calls.
TASK_STOP_S = 0.15
# Time after which the lease of a target has expired and its runs have ended, also if
# their stops have no effect.
LATEST_STOP_S = TARGET_LEASE_S * (1 + TARGET_CLOCK_DRIFT) + TASK_STOP_S
# Three reports fit into OWNER_LEASE_S, so that two in a row may be lost.
REPORT_INTERVAL_S = 0.2
# Time after which a connection without messages is replaced.
LINK_SILENCE_TIMEOUT_S = 0.4


def latest_run_end(last_seen_at: float) -> float:
    """Returns when a silent agent can no longer run anything of an owner.

    This holds only if its VM has not been suspended.

    Args:
        last_seen_at: When the owner last received a report that it could reply to, in
            seconds of its clock; the lease at the agent counts from an earlier time.
    """
    return last_seen_at + OWNER_LEASE_S + LATEST_STOP_S


def latest_suspended_run_end(last_seen_at: float) -> float:
    """Returns when a silent agent can't run anything, also if its VM was suspended.

    Args:
        last_seen_at: As above.
    """
    return latest_run_end(last_seen_at) + MAX_SUSPENSION_S
