"""Handlers whose every refusal has the form of RFC 9457."""

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
    """Sends problems in place of the framework's pages.

    Attributes:
        request_id: The request's id; empty if it has none.
    """

    request_id = ""

    def send_problem(
        self, problem: Problem, *, status: int | None = None
    ) -> None:
        """Ends the request with a problem.

        Args:
            problem: What went wrong.
            status: HTTP status, if not that of the problem's kind.
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
        """Answers for the framework, such as for an unknown method."""
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
    """Answers for every path that the front door does not have."""

    def prepare(self) -> None:
        """Answers with 404, whatever the method."""
        self.send_problem(
            Problem(
                ErrorKind.NOT_FOUND,
                f"got path {self.request.path!r}, services are below "
                "/services/NAME",
            )
        )
