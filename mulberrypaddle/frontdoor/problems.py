"""Problem documents of RFC 9457, the bodies of error responses."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mulberrypaddle.core.errors import Problem


def problem_to_json(problem: Problem, *, request_id: str) -> str:
    """Returns a problem as a JSON problem document.

    Args:
        problem: What went wrong.
        request_id: Id of the failed request; empty if it has none.
    """
    answer = problem.answer
    return json.dumps(
        {
            "type": f"urn:mulberrypaddle:{problem.kind.value}",
            "title": problem.kind.value,
            "status": answer.status,
            "detail": problem.detail,
            "ran": problem.ran.value,
            "retry": answer.retry.value,
            "request_id": request_id,
        }
    )
