"""Commands for documents, data centres and the state of the fleet."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any, TypeVar

from returns.result import Success

from mulberrypaddle.cli.client import OperatorClient, make_operator_client
from mulberrypaddle.cli.editing import set_value
from mulberrypaddle.cli.files import read_text
from mulberrypaddle.cli.output import fail, print_json, print_table
from mulberrypaddle.core.errors import ErrorKind, Problem
from mulberrypaddle.observe.log_reader import LogLine, explain, parse_line
from mulberrypaddle.observe.losses import count_losses
from mulberrypaddle.operators.documents import DocumentKind, validate_document

if TYPE_CHECKING:
    from returns.result import Result

T = TypeVar("T")


def unwrap_or_exit(result: Result[T, Problem]) -> T:
    """Returns the value, or prints the problem and exits the process."""
    if isinstance(result, Success):
        return result.unwrap()
    fail(result.failure())
    return None


def _make_client_or_exit(router: str) -> OperatorClient:
    """Returns a client for the given routers, or exits with a message."""
    return unwrap_or_exit(make_operator_client(router))


def _get_document(client: OperatorClient, kind: DocumentKind, name: str) -> Any:
    """Returns a document with its version, or exits if there is none."""
    return unwrap_or_exit(client.get(f"documents/{kind.value}/{name}"))


def _current_version(
    client: OperatorClient, kind: DocumentKind, name: str
) -> int:
    """Returns the current version of a document, zero if there is none."""
    found = client.get(f"documents/{kind.value}/{name}")
    if isinstance(found, Success):
        return int(found.unwrap()["version"])
    problem = found.failure()
    if problem.kind is not ErrorKind.NOT_FOUND:
        fail(problem)
    return 0


def _put_document(
    client: OperatorClient,
    kind: DocumentKind,
    name: str,
    text: str,
    *,
    version: int,
    json: bool,
    override: bool = False,
) -> None:
    """Sends a document to a router and prints its new version.

    Args:
        client: Client of the router.
        kind: Kind of the document.
        name: Name of the document.
        text: The YAML document.
        version: Version that the document must have now.
        json: Print JSON.
        override: Accept a change that fails the capacity check.
    """
    query = "?override=true" if override else ""
    path = f"documents/{kind.value}/{name}{query}"
    accepted = unwrap_or_exit(client.put(path, text, expected_version=version))
    if json:
        print_json(accepted)
        return
    print(f"{kind.value} {name}: accepted as version {accepted['version']}")


class DocumentCommands:
    """Reads, validates and applies documents of one kind."""

    def __init__(self, kind: DocumentKind) -> None:
        self._kind = kind

    def check(self, file: str) -> None:
        """Validates a file locally, without sending it to a router.

        Args:
            file: Path of the YAML document.
        """
        text = unwrap_or_exit(read_text(str(file)))
        unwrap_or_exit(validate_document(self._kind, text, source=str(file)))
        print(f"{file}: valid")

    def list(self, *, router: str = "", json: bool = False) -> None:
        """Lists all documents of this kind with their current versions.

        Args:
            router: Address of a router, as host:port.
            json: Print JSON.
        """
        found = unwrap_or_exit(
            _make_client_or_exit(router).get(f"documents/{self._kind.value}")
        )
        if json:
            print_json(found)
            return
        rows = [
            {key: item[key] for key in ("name", "version")} for item in found
        ]
        print_table("", rows)

    def get(self, name: str, *, router: str = "", json: bool = False) -> None:
        """Prints one document as stored by the platform.

        Args:
            name: Name of the document.
            router: Address of a router, as host:port.
            json: Print JSON, with the document's version.
        """
        found = _get_document(
            _make_client_or_exit(router), self._kind, str(name)
        )
        if json:
            print_json(found)
            return
        print(found["document"], end="")

    def apply(
        self,
        file: str,
        *,
        router: str = "",
        version: int | None = None,
        json: bool = False,
    ) -> None:
        """Validates a file and applies it on all routers.

        Args:
            file: Path of the YAML document.
            router: Address of a router, as host:port.
            version: Version on which the change is based; by default the
                current one. If another operator has changed the document
                since, the command fails with a conflict.
            json: Print JSON.
        """
        text = unwrap_or_exit(read_text(str(file)))
        value = unwrap_or_exit(
            validate_document(self._kind, text, source=str(file))
        )
        name = value[self._kind.name_field]
        client = _make_client_or_exit(router)
        if version is None:
            version = _current_version(client, self._kind, name)
        _put_document(
            client, self._kind, name, text, version=version, json=json
        )

    def edit(
        self, name: str, *assignments: str, router: str = "", json: bool = False
    ) -> None:
        """Changes single values of the document in force.

        Args:
            name: Name of the document.
            *assignments: Changes as PATH=VALUE, such as
                services.card-writer.in_flight_requests=40.
            router: Address of a router, as host:port.
            json: Print JSON.
        """
        client = _make_client_or_exit(router)
        found = _get_document(client, self._kind, str(name))
        text = found["document"]
        for assignment in assignments:
            text = unwrap_or_exit(set_value(text, str(assignment)))
        unwrap_or_exit(validate_document(self._kind, text, source=str(name)))
        _put_document(
            client,
            self._kind,
            str(name),
            text,
            version=found["version"],
            json=json,
        )


class DataCentreCommands:
    """Takes data centres out of service and brings them back."""

    def list(self, *, router: str = "", json: bool = False) -> None:
        """Lists the data centres with their states.

        Args:
            router: Address of a router, as host:port.
            json: Print JSON.
        """
        tables = unwrap_or_exit(_make_client_or_exit(router).get("status"))
        if json:
            print_json(tables["data_centres"])
            return
        print_table("", tables["data_centres"])

    def take_out(
        self,
        name: str,
        *,
        router: str = "",
        override: bool = False,
        json: bool = False,
    ) -> None:
        """Takes a data centre out of service: it receives no new requests.

        Args:
            name: Name of the data centre.
            router: Address of a router, as host:port.
            override: Accept it although the other data centres lack the
                capacity for the load.
            json: Print JSON.
        """
        self._set_state(
            str(name), "out", router=router, override=override, json=json
        )

    def bring_in(
        self, name: str, *, router: str = "", json: bool = False
    ) -> None:
        """Brings a data centre back into service.

        Args:
            name: Name of the data centre.
            router: Address of a router, as host:port.
            json: Print JSON.
        """
        self._set_state(
            str(name), "in", router=router, override=False, json=json
        )

    def _set_state(
        self, name: str, state: str, *, router: str, override: bool, json: bool
    ) -> None:
        """Applies a document that sets the state of a data centre."""
        client = _make_client_or_exit(router)
        kind = DocumentKind.DATA_CENTRE
        _put_document(
            client,
            kind,
            name,
            f"data_centre: {name}\nstate: {state}\n",
            version=_current_version(client, kind, name),
            json=json,
            override=override,
        )


def print_status(*, router: str, section: str, json: bool) -> None:
    """Prints the state of the fleet as known to one router.

    Args:
        router: Address of the router, as host:port.
        section: Name of the only table to print; empty for all.
        json: Print JSON.
    """
    tables = unwrap_or_exit(_make_client_or_exit(router).get("status"))
    if section:
        if section not in tables:
            fail(
                Problem(
                    ErrorKind.BAD_REQUEST,
                    f"unknown section {section!r}, allowed are "
                    + ", ".join(tables),
                )
            )
        tables = {section: tables[section]}
    if json:
        print_json(tables)
        return
    for title, rows in tables.items():
        print_table(title, rows)


def print_explanation(subject: str, *, router: str, json: bool) -> None:
    """Prints the recorded decisions about a request or group.

    The decisions of all given routers are merged, in order of time; routers
    that fail to respond are skipped if another one has decisions.

    Args:
        subject: Id of the request or group.
        router: Comma-separated addresses of routers, as host:port.
        json: Print JSON.
    """
    client = _make_client_or_exit(router)
    found: list[Any] = []
    problem: Problem | None = None
    for address in client.addresses:
        result = client.get(f"explain/{subject}", address=address)
        if isinstance(result, Success):
            found.extend(result.unwrap())
            continue
        problem = result.failure()
    if not found and problem is not None:
        fail(problem)
    found.sort(key=lambda item: item["at_wall_seconds"])
    if json:
        print_json(found)
        return
    for item in found:
        at = time.strftime("%H:%M:%S", time.gmtime(item["at_wall_seconds"]))
        fields = " ".join(
            f"{key}={value}" for key, value in item["fields"].items()
        )
        print(
            f"{at} {item['router']} {item['kind']}: {item['outcome']}, "
            f"because {item['reason']} {fields}".rstrip()
        )


def print_log_lines(subject: str, *, paths: str, around_seconds: float) -> None:
    """Prints the log lines that mention a subject.

    Args:
        subject: Id of a request, runner, group or router.
        paths: Comma-separated paths of log files.
        around_seconds: Also print the routers' belief events (their view of
            the fleet) from this long before the first until this long after
            the last line that mentions the subject; negative for none.
    """
    found = explain(
        _read_log_lines(paths), subject, around_seconds=around_seconds
    )
    if not found:
        fail(Problem(ErrorKind.NOT_FOUND, f"no log line mentions {subject!r}"))
    for line in found:
        print(line.text)


def print_losses(*, paths: str, interval_seconds: float, json: bool) -> None:
    """Prints how many requests were late or not answered, by cause.

    Args:
        paths: Comma-separated paths of log files.
        interval_seconds: Length of the intervals to divide the counts by; 0
            for a single count.
        json: Print JSON.
    """
    if interval_seconds < 0:
        fail(
            Problem(
                ErrorKind.BAD_REQUEST,
                f"the interval must not be negative, got {interval_seconds}",
            )
        )
    rows = []
    for count in count_losses(
        _read_log_lines(paths), interval_seconds=interval_seconds
    ):
        row: dict[str, Any] = {}
        if interval_seconds:
            moment = time.gmtime(count.interval_seconds)
            row["from"] = time.strftime("%H:%M:%S", moment)
        row["model"] = count.model or "-"
        row["event"] = count.event
        row["cause"] = count.cause
        row["requests"] = count.requests
        rows.append(row)
    if json:
        print_json(rows)
        return
    print_table("", rows)


def _read_log_lines(paths: str) -> list[LogLine]:
    """Reads the lines of comma-separated log files, or exits with a message."""
    lines: list[LogLine] = []
    for path in paths.split(","):
        text = unwrap_or_exit(read_text(path))
        lines.extend(parse_line(line) for line in text.splitlines())
    return lines
