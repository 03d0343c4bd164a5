"""Entry point of the command line interface."""

from __future__ import annotations

import asyncio
import sys

import fire

from mulberrypaddle.cli.commands import (
    DataCentreCommands,
    DocumentCommands,
    print_explanation,
    print_log_lines,
    print_losses,
    print_status,
    unwrap_or_exit,
)
from mulberrypaddle.cli.configuration_check import run_check
from mulberrypaddle.cli.demo import run_demo
from mulberrypaddle.cli.output import EXIT_FAILED, EXIT_UNREACHABLE
from mulberrypaddle.cli.standins import StandinCommands
from mulberrypaddle.cli.stop_signals import wait_for_stop_signal
from mulberrypaddle.observe import configure_logging
from mulberrypaddle.operators.documents import DocumentKind
from mulberrypaddle.router import Router
from mulberrypaddle.settings import RouterSettings, load_settings


async def _run_router(settings: RouterSettings) -> None:
    """Runs a router until a stop signal, then stops it gracefully."""
    configure_logging()
    router = Router(settings)
    router.start()
    await wait_for_stop_signal()
    await router.stop()


class Commands:
    """mulberrypaddle: routers, contracts and data centres.

    Commands that call a router take its address from --router or from
    MULBERRYPADDLE_ROUTER, and the operator's key from
    MULBERRYPADDLE_OPERATOR_KEY. They exit with 0 on success, 1 on failure,
    2 for bad input, 3 for a conflict with another operator, 4 if a router
    or the object API can't be reached, 5 for an unsafe move and 6 for a
    missing or wrong key.
    """

    def __init__(self) -> None:
        self.contract = DocumentCommands(DocumentKind.CONTRACT)
        self.service = DocumentCommands(DocumentKind.SERVICE)
        self.data_centre = DataCentreCommands()
        self.standin = StandinCommands()

    def router(self, settings: str) -> None:
        """Runs one router until SIGTERM or SIGINT.

        Args:
            settings: Path of the settings file.
        """
        loaded = unwrap_or_exit(load_settings(str(settings)))
        try:
            asyncio.run(_run_router(loaded))
        except OSError as error:
            print(f"can't start: {error}", file=sys.stderr)
            sys.exit(EXIT_UNREACHABLE)

    def platform(self, settings: str = "") -> None:
        """Runs one router on the users' platform until it is asked to stop.

        Args:
            settings: Path of the platform's settings file; by default the one
                given by the environment.
        """
        # Imported here because the other commands don't need it.
        from mulberrypaddle.platform.program import run

        run(str(settings))

    def check(self, settings: str) -> None:
        """Validates a settings file.

        Args:
            settings: Path of the settings file.
        """
        unwrap_or_exit(load_settings(str(settings)))
        print(f"{settings}: valid")

    def check_configuration(
        self, new: str, *, in_force: str = "", format: str = "text"
    ) -> None:
        """Checks a configuration without a network.

        Exits with 0 if there is no finding, 1 if there are only warnings and
        differences, and 2 if there are errors.

        Args:
            new: File in the platform's form (JSON), folder of documents, or
                one document (YAML).
            in_force: Version in force, in the same form, to compare with.
            format: `text` or `json`.
        """
        run_check(
            str(new), in_force_path=str(in_force), format_name=str(format)
        )

    def status(
        self, section: str = "", *, router: str = "", json: bool = False
    ) -> None:
        """Shows services, groups, data centres, organisations and routers.

        Args:
            section: Name of the only table to show.
            router: Address of a router, as host:port.
            json: Print JSON.
        """
        print_status(router=router, section=str(section), json=json)

    def explain(
        self,
        subject: str,
        *,
        router: str = "",
        json: bool = False,
        logs: str = "",
        around: float = -1.0,
    ) -> None:
        """Shows the decisions about a request or group and their reasons.

        Args:
            subject: Id of the request or group.
            router: Comma-separated addresses of routers, as host:port.
            json: Print JSON.
            logs: Comma-separated log files to read instead of asking routers.
            around: With `logs`, also show the routers' view of the fleet from
                this many seconds before until this many after the subject's
                lines; negative for none.
        """
        if logs:
            print_log_lines(
                str(subject), paths=str(logs), around_seconds=float(around)
            )
            return
        print_explanation(str(subject), router=router, json=json)

    def losses(
        self, logs: str, *, interval: float = 0.0, json: bool = False
    ) -> None:
        """Shows how many requests were late or not answered, by cause.

        Args:
            logs: Comma-separated log files of the routers.
            interval: Length in seconds of the intervals to divide the counts
                by; 0 for a single count.
            json: Print JSON.
        """
        print_losses(
            paths=str(logs), interval_seconds=float(interval), json=json
        )

    def demo(self) -> None:
        """Runs a demonstration on a small fleet with embedded stand-ins."""
        if not asyncio.run(run_demo()):
            sys.exit(EXIT_FAILED)


def main() -> None:
    """Runs the command given by the process arguments."""
    fire.Fire(Commands, name="mulberrypaddle")
