"""Times after which processes that do not hear each other give up what they share.

An entry owns the orders that it gave. An agent runs them while it hears the entry, and
its target runs them while it hears the agent. A caller whose entry died sends the job
again after about 1.3 s, so both leases together must end before that.
"""

from __future__ import annotations


# Both together are below the resubmission delay of the deployments, 1.3 s.
OWNER_LEASE_S = 0.7
TARGET_LEASE_S = 0.5
# Share by which the clock of a target may be slow; the platform's bound is 2%.
TARGET_CLOCK_DRIFT = 0.03
# Time a target needs to stop a task, with time for the calls around it.
TASK_STOP_S = 0.15
# Three reports fit into an owner's lease, so that two may be lost.
REPORT_INTERVAL_S = 0.2
# Time after which a connection that carries nothing is replaced.
LINK_SILENCE_TIMEOUT_S = 0.4


def latest_run_end(last_seen_at: float) -> float:
    """Returns when an agent that has been silent since runs nothing of an owner.

    Args:
        last_seen_at: When the owner last received a report that it could answer, in
            seconds of its clock; the agent's lease counts from before that.
    """
    target_lease_s = TARGET_LEASE_S * (1 + TARGET_CLOCK_DRIFT)
    return last_seen_at + OWNER_LEASE_S + target_lease_s + TASK_STOP_S
