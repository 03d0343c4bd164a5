"""Runs the command line in separate processes, for end-to-end tests."""

from __future__ import annotations

import os
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).parents[2]
COMMAND = (sys.executable, "-m", "mulberrypaddle")
STOP_TIMEOUT_SECONDS = 30


class Process:
    """A long-running command in a process; the test must call `stop`.

    What the process writes to its standard error is printed when it is stopped;
    pytest shows it with a failure.

    Attributes:
        process: The process, with its standard output as a pipe.
    """

    def __init__(
        self, *arguments: str, command: tuple[str, ...] = COMMAND
    ) -> None:
        self._errors_fd = os.memfd_create("standard-error")
        self._name = " ".join(arguments)
        self.process = subprocess.Popen(
            [*command, *arguments],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=self._errors_fd,
            text=True,
        )

    def address(self) -> str:
        """Reads one line, the address that a stand-in prints at its start."""
        line = self.process.stdout.readline()
        return line.removeprefix("listening on ").strip()

    def child_process_ids(self) -> str:
        """Returns the ids of the child processes, separated by spaces."""
        process_id = self.process.pid
        path = pathlib.Path(f"/proc/{process_id}/task/{process_id}/children")
        return path.read_text(encoding="ascii").strip()

    def stop(self) -> int:
        """Sends SIGTERM if the process runs; returns its exit status."""
        if self.process.poll() is None:
            self.process.terminate()
        self.process.stdout.close()
        status = self.process.wait(STOP_TIMEOUT_SECONDS)
        if self._errors_fd >= 0:
            os.lseek(self._errors_fd, 0, os.SEEK_SET)
            with os.fdopen(self._errors_fd) as errors:
                print(f"{self._name}: status {status}\n{errors.read()}")
            self._errors_fd = -1
        return status


def run_command(
    *arguments: str, environment: dict[str, str] | None = None
) -> subprocess.CompletedProcess[str]:
    """Runs a command and waits until it has ended.

    Args:
        *arguments: Arguments of the command.
        environment: Variables added to this process's environment.
    """
    return subprocess.run(
        [*COMMAND, *arguments],
        cwd=ROOT,
        env={**os.environ, **(environment or {})},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
