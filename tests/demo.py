"""Runs one job of 240 tasks on a whole fleet; exits with 0 if all checks pass."""

from __future__ import annotations

import subprocess
import sys
from typing import TYPE_CHECKING
from typing import Any

from tests.municipalities import expected_results
from tests.municipalities import make_payloads
from tests.standins.caller import make_job
from tests.standins.fleet import SERVICE
from tests.standins.fleet import Fleet


if TYPE_CHECKING:
    from tests.standins.caller import Reply


TASKS = 240
SHOWN_RESULTS = 3
EXIT_TIMEOUT_S = 15.0


class Checks:
    """Prints the result of each check and records whether all passed."""

    def __init__(self) -> None:
        self.all_passed = True

    def check(self, description: str, passed: bool) -> None:
        """Prints and records the result of one check."""
        print(f"{'passed' if passed else 'FAILED'}  {description}", flush=True)
        self.all_passed = self.all_passed and passed


def show_answer(reply: Reply) -> None:
    """Prints a summary of the answer, with its first and last results."""
    results = reply.body.get("results") or []
    print(f"answer: status {reply.status}, outcome {reply.body['outcome']}")
    print(f"id: {reply.body['id']}, results: {len(results)}")
    for result in results[:SHOWN_RESULTS]:
        print(f"  {result}")
    print("  ...")
    for result in results[-SHOWN_RESULTS:]:
        print(f"  {result}")


def run_job(fleet: Fleet, checks: Checks) -> None:
    """Submits a job through one entry and resubmits it through the other."""
    payloads = make_payloads(TASKS)
    job = make_job(SERVICE, payloads)
    first, second = fleet.entries
    job_id = first.caller.take_ids(SERVICE, 1)[0]
    answer = first.caller.put_job(job_id, job)
    show_answer(answer)
    results = answer.body.get("results")
    checks.check("the answer is done", (answer.status, answer.outcome) == (200, "done"))
    checks.check("all results are present", results == expected_results(payloads))
    again = second.caller.put_job(job_id, job)
    checks.check("the other entry gives the same answer", again.body == answer.body)
    check_starts(fleet, checks, job_id)


def check_starts(fleet: Fleet, checks: Checks, job_id: str) -> None:
    """Checks the starts that the targets have recorded."""
    for agent in fleet.agents:
        record: dict[str, Any] = fleet.read_target_record(agent)
        print(
            f"target in {agent.availability_zone}: {len(record['starts'])} starts, "
            f"at most {record['max_running']} at once"
        )
    expected = {f"{job_id}/{index}": 1 for index in range(TASKS)}
    checks.check("each task started once", dict(fleet.count_starts()) == expected)


def stop_daemons(fleet: Fleet, checks: Checks) -> None:
    """Terminates entries, then agents, and checks their exit codes."""
    entries = [entry.process for entry in fleet.entries]
    agents = [agent.process for agent in fleet.agents]
    for processes in (entries, agents):
        for process in processes:
            process.terminate()
        codes = [process.wait(EXIT_TIMEOUT_S) for process in processes]
        checks.check(f"{len(processes)} processes ended with code 0", not any(codes))


def print_timeline(fleet: Fleet, checks: Checks) -> None:
    """Prints the merged timeline of the entries and agents."""
    command = [sys.executable, "-m", "jackdawkeel", "timeline"]
    command += [str(process.log) for process in fleet.product_processes()]
    timeline = subprocess.run(command, capture_output=True, text=True, check=False)
    print(timeline.stdout, end="")
    print(timeline.stderr, end="", file=sys.stderr)
    passed = timeline.returncode == 0 and bool(timeline.stdout.strip())
    checks.check("the timeline was merged", passed)


def main() -> int:
    """Runs the demo and returns the exit code."""
    checks = Checks()
    with Fleet() as fleet:
        run_job(fleet, checks)
        stop_daemons(fleet, checks)
        print_timeline(fleet, checks)
    ended = not any(process.is_running for process in fleet.processes)
    checks.check("every process that was started has ended", ended)
    return 0 if checks.all_passed else 1


if __name__ == "__main__":
    sys.exit(main())
