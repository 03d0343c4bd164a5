"""Records whole sessions as text and compares them with golden files."""

from __future__ import annotations

import asyncio
import difflib
import os
import pathlib
import re
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from tornado.httpclient import HTTPResponse

    from mulberrypaddle.standins.local_fleet import LocalFleet

FOLDER = pathlib.Path(__file__).parents[1] / "golden"
TURN_SECONDS = 0.005
WRITE_VARIABLE = "MULBERRYPADDLE_WRITE_GOLDEN"

_REQUEST_ID = re.compile(r"r-(router-\d+)-\d+-(\d+)")
_ADDRESS = re.compile(r"127\.0\.0\.1:\d+")
_ATTEMPT_ID = re.compile(r"(router-\d+)-\d{10,}-(\d+)")
_UUID = re.compile(r"[0-9a-f]{8}(?:-[0-9a-f]{4}){3}-[0-9a-f]{12}")
_SHOWN_HEADERS = (
    "Content-Type",
    "Retry-After",
    "Idempotency-Replayed",
)


class Session:
    """The text of one session, in the order in which things happened."""

    def __init__(self, fleet: LocalFleet) -> None:
        self._fleet = fleet
        self._lines: list[str] = []

    def note(self, text: str) -> None:
        """Writes a line of explanation."""
        self._lines.append(f"# {text}")

    async def call(
        self,
        service: str,
        path: str,
        body: Any,
        *,
        key: str,
        router: int = 0,
        headers: dict[str, str] | None = None,
    ) -> HTTPResponse:
        """Sends a request and writes what came back and what was decided."""
        shown = "".join(f" {k}={v}" for k, v in (headers or {}).items())
        self._lines.append(f"> router-{router + 1} POST {service}{path}{shown}")
        answer = await self._fleet.call(
            service, path, body, key=key, router=router, headers=headers
        )
        self._write_answer(answer)
        request_id = answer.headers.get("X-Request-Id", "")
        if request_id:
            await self._write_decisions(request_id, router)
        return answer

    def _write_answer(self, answer: HTTPResponse) -> None:
        headers = []
        for name in _SHOWN_HEADERS:
            if name in answer.headers:
                headers.append(f"{name}={answer.headers[name]}")
        self._lines.append(f"< {answer.code} {' '.join(headers)}".rstrip())
        for line in (answer.body or b"").decode().splitlines():
            if line:
                self._lines.append(f"<   {line}")

    async def _write_decisions(self, request_id: str, router: int) -> None:
        board = self._fleet.routers[router].context.board
        while board.decisions:
            # The next turn of the driver remembers them.
            await asyncio.sleep(TURN_SECONDS)
        for decision in self._fleet.routers[router].journal.decisions_about(
            request_id
        ):
            self._lines.append(
                f"= {decision.kind}: {decision.outcome}, "
                f"because {decision.reason}"
            )

    def text(self) -> str:
        """Returns the session with ids and addresses made comparable."""
        text = "\n".join(self._lines) + "\n"
        text = _REQUEST_ID.sub(r"r-\1-\2", text)
        text = _ATTEMPT_ID.sub(r"\1-\2", text)
        text = _UUID.sub("UUID", text)
        return _ADDRESS.sub("ADDRESS", text)


def differences(name: str, text: str) -> str:
    """Returns how a session differs from its golden file.

    With the environment variable MULBERRYPADDLE_WRITE_GOLDEN set, writes the
    file instead and returns an empty text.

    Args:
        name: Name of the golden file, without its ending.
        text: The session as it went this time.
    """
    path = FOLDER / f"{name}.golden"
    if os.environ.get(WRITE_VARIABLE):
        path.write_text(text, encoding="utf-8")
        return ""
    expected = path.read_text(encoding="utf-8")
    return "\n".join(
        difflib.unified_diff(
            expected.splitlines(),
            text.splitlines(),
            "golden",
            "now",
            lineterm="",
        )
    )
