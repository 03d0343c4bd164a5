"""Commands on documents, data centres and the state of the fleet."""

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
from mulberrypaddle.operators.documents import DocumentKind, validate_document

if TYPE_CHECKING:
    from returns.result import Result

T = TypeVar("T")


def unwrap(result: Result[T, Problem]) -> T:
    """Returns the value, or prints the problem and exits."""
    if isinstance(result, Success):
        return result.unwrap()
    fail(result.failure())
    return None


def _client(router: str) -> OperatorClient:
    return unwrap(make_operator_client(router))


def _read_document(
    client: OperatorClient, kind: DocumentKind, name: str
) -> Any:
    return unwrap(client.get(f"documents/{kind.value}/{name}"))


def _present_version(
    client: OperatorClient, kind: DocumentKind, name: str
) -> int:
    """Returns the version of a document, zero if there is none."""
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
    """Puts a document in force and prints the accepted version."""
    query = "?override=true" if override else ""
    path = f"documents/{kind.value}/{name}{query}"
    accepted = unwrap(client.put(path, text, expected_version=version))
    if json:
        print_json(accepted)
        return
    print(f"{kind.value} {name}: accepted as version {accepted['version']}")


class DocumentCommands:
    """Reads, checks and applies documents of one kind."""

    def __init__(self, kind: DocumentKind) -> None:
        self._kind = kind

    def check(self, file: str) -> None:
        """Checks a file without sending it anywhere.

        Args:
            file: Path of the YAML document.
        """
        text = unwrap(read_text(str(file)))
        unwrap(validate_document(self._kind, text, source=str(file)))
        print(f"{file}: valid")

    def list(self, *, router: str = "", json: bool = False) -> None:
        """Lists all documents of this kind with their versions.

        Args:
            router: Address of a router, as host:port.
            json: Print JSON.
        """
        found = unwrap(_client(router).get(f"documents/{self._kind.value}"))
        if json:
            print_json(found)
            return
        rows = [
            {key: item[key] for key in ("name", "version")} for item in found
        ]
        print_table("", rows)

    def get(self, name: str, *, router: str = "", json: bool = False) -> None:
        """Prints one document as the platform keeps it.

        Args:
            name: Name of the document.
            router: Address of a router, as host:port.
            json: Print JSON with the version.
        """
        found = _read_document(_client(router), self._kind, str(name))
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
        """Checks a file and puts it in force everywhere.

        Args:
            file: Path of the YAML document.
            router: Address of a router, as host:port.
            version: Version that the change was made from; by default the
                present one. Another operator's change in between is a
                conflict, never overwritten.
            json: Print JSON.
        """
        text = unwrap(read_text(str(file)))
        value = unwrap(validate_document(self._kind, text, source=str(file)))
        name = value[self._kind.name_field]
        client = _client(router)
        if version is None:
            version = _present_version(client, self._kind, name)
        _put_document(
            client, self._kind, name, text, version=version, json=json
        )

    def edit(
        self, name: str, *assignments: str, router: str = "", json: bool = False
    ) -> None:
        """Changes single values of a document in force.

        Args:
            name: Name of the document.
            *assignments: Changes as PATH=VALUE, such as
                services.card-writer.in_flight_requests=40.
            router: Address of a router, as host:port.
            json: Print JSON.
        """
        client = _client(router)
        found = _read_document(client, self._kind, str(name))
        text = found["document"]
        for assignment in assignments:
            text = unwrap(set_value(text, str(assignment)))
        unwrap(validate_document(self._kind, text, source=str(name)))
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
        tables = unwrap(_client(router).get("status"))
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
        """Takes a data centre out: it receives no new work.

        Args:
            name: Name of the data centre.
            router: Address of a router, as host:port.
            override: Accept it although the others can't carry the load.
            json: Print JSON.
        """
        self._set(str(name), "out", router=router, override=override, json=json)

    def bring_in(
        self, name: str, *, router: str = "", json: bool = False
    ) -> None:
        """Brings a data centre back into service.

        Args:
            name: Name of the data centre.
            router: Address of a router, as host:port.
            json: Print JSON.
        """
        self._set(str(name), "in", router=router, override=False, json=json)

    def _set(
        self, name: str, state: str, *, router: str, override: bool, json: bool
    ) -> None:
        client = _client(router)
        kind = DocumentKind.DATA_CENTRE
        _put_document(
            client,
            kind,
            name,
            f"data_centre: {name}\nstate: {state}\n",
            version=_present_version(client, kind, name),
            json=json,
            override=override,
        )


def print_status(*, router: str, section: str, json: bool) -> None:
    """Prints the state of the fleet as one router sees it."""
    tables = unwrap(_client(router).get("status"))
    if section:
        if section not in tables:
            fail(
                Problem(
                    ErrorKind.BAD_REQUEST,
                    f"got section {section!r}, allowed are "
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
    """Prints the decisions about one subject from whichever router has them."""
    client = _client(router)
    found: list[Any] = []
    problem: Problem | None = None
    for address in client.addresses:
        answer = client.get(f"explain/{subject}", address=address)
        if isinstance(answer, Success):
            found.extend(answer.unwrap())
            continue
        problem = answer.failure()
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
    """Prints what log files say of a subject.

    Args:
        subject: Id of a request, runner, group or router.
        paths: Files, parted by commas.
        around_seconds: Time around in which beliefs are shown; negative for
            none.
    """
    lines: list[LogLine] = []
    for path in paths.split(","):
        text = unwrap(read_text(path))
        lines.extend(parse_line(line) for line in text.splitlines())
    found = explain(lines, subject, around_seconds=around_seconds)
    if not found:
        fail(Problem(ErrorKind.NOT_FOUND, f"no line names {subject!r}"))
    for line in found:
        print(line.text)
