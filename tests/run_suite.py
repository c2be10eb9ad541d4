"""Runs all tests; fails for any failure that KNOWN-RED.txt does not list."""

from __future__ import annotations

import sys
from pathlib import Path

import nose2


REPOSITORY = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(REPOSITORY))

from tests import outcome_recorder  # noqa: E402


def read_known_failures() -> set[str]:
    """Returns the test ids in KNOWN-RED.txt: the first word of each entry."""
    text = (REPOSITORY / "KNOWN-RED.txt").read_text()
    lines = [line for line in text.splitlines() if line and line[0] not in "# \t"]
    return {line.split()[0] for line in lines}


def main() -> int:
    """Runs the suite and returns the exit code."""
    directories = ["-s", str(REPOSITORY / "tests"), "-t", str(REPOSITORY)]
    nose2.discover(
        argv=["nose2", *directories, "-v", *sys.argv[1:]],
        exit=False,
        plugins=["tests.outcome_recorder"],
    )
    known = read_known_failures()
    failed = set(outcome_recorder.FAILED)
    for name in sorted(failed & known):
        print(f"known failure, see KNOWN-RED.txt: {name}")
    unexpected = failed - known
    print(f"{len(outcome_recorder.PASSED)} passed, {len(unexpected)} failed")
    return 1 if unexpected or not outcome_recorder.PASSED else 0


if __name__ == "__main__":
    sys.exit(main())
