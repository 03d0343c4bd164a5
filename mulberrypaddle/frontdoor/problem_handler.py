"""Request handlers that send errors as problem documents of RFC 9457."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import tornado.web

from mulberrypaddle.core.errors import ErrorKind, Problem, Ran, RetryAdvice
from mulberrypaddle.frontdoor.problems import problem_to_json

if TYPE_CHECKING:
    from mulberrypaddle.core.errors import Answer

_NOT_ALLOWED_STATUS = 405
_INTERNAL_STATUS = 500


class ProblemHandler(tornado.web.RequestHandler):
    """Sends problem documents instead of tornado's error pages.

    Attributes:
        request_id: The request's id; empty for a request without one.
    """

    request_id = ""

    def send_problem(
        self, problem: Problem, *, status: int | None = None
    ) -> None:
        """Ends the request with a problem document.

        Args:
            problem: What went wrong.
            status: HTTP status; None for that of the problem's kind.
        """
        answer: Answer = problem.answer
        self.set_status(status or answer.status)
        self.set_header("Content-Type", "application/problem+json")
        if answer.retry_after_seconds is not None:
            self.set_header("Retry-After", str(answer.retry_after_seconds))
        elif answer.retry is RetryAdvice.NOW:
            self.set_header("Retry-After", "0")
        self.finish(problem_to_json(problem, request_id=self.request_id))

    def write_error(self, status_code: int, **_: Any) -> None:
        """Replaces tornado's error pages, such as for an unknown method."""
        if status_code >= _INTERNAL_STATUS:
            problem = Problem(ErrorKind.INTERNAL, "the router failed")
        else:
            problem = Problem(
                ErrorKind.BAD_REQUEST,
                f"{self.request.method} {self.request.path!r} is refused",
                ran=Ran.NOT_RUN,
            )
        self.send_problem(problem, status=status_code)


class UnknownPathHandler(ProblemHandler):
    """Answers requests whose path matches no route."""

    def prepare(self) -> None:
        """Answers with 404 for any method."""
        self.send_problem(
            Problem(
                ErrorKind.NOT_FOUND,
                f"got path {self.request.path!r}, services are below "
                "/services/NAME",
            )
        )
