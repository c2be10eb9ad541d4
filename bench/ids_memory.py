"""Measures the memory that a home keeps for each job id that it has admitted.

Run ``python -m bench.ids_memory``; it prints one line of JSON for each count of ids.
"""

from __future__ import annotations

import hashlib
import json
import tracemalloc

from jackdawkeel.answer import answer_done
from jackdawkeel.controllers.admission import ANSWER_RETENTION_S
from jackdawkeel.controllers.admission import AdmissionController
from jackdawkeel.job_id import mint_incarnation
from jackdawkeel.job_id import mint_job_id


COUNTS = (5_000, 10_000, 20_000, 50_000)
RESULT = b'{"sum": 1234}'


def measure_bytes(count: int, *, is_answer_kept: bool) -> int:
    """Returns the bytes allocated for so many ended jobs of one task."""
    now = 0.0

    def clock() -> float:
        return now

    incarnation = mint_incarnation()
    tracemalloc.start()
    admission = AdmissionController(incarnation, clock)
    for number in range(count):
        job_id = mint_job_id(incarnation, admission.epoch)
        digest = hashlib.sha256(str(number).encode()).hexdigest()
        admission.admit(job_id, digest)
        admission.keep_answer(job_id, answer_done(str(job_id), [RESULT]))
    if not is_answer_kept:
        now = 2 * ANSWER_RETENTION_S
        admission.tick()
    allocated, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return allocated


def main() -> None:
    """Prints the figures."""
    for count in COUNTS:
        for is_answer_kept in (True, False):
            allocated = measure_bytes(count, is_answer_kept=is_answer_kept)
            figures = {
                "ids": count,
                "is_answer_kept": is_answer_kept,
                "bytes": allocated,
                "bytes_per_id": round(allocated / count),
            }
            print(json.dumps(figures))


if __name__ == "__main__":
    main()
