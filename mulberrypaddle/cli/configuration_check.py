"""The command that checks a configuration. It uses no network."""

from __future__ import annotations

import pathlib
import sys
from typing import Any

import yaml
from returns.result import Success

from mulberrypaddle.checks.differences import compare, compare_versions
from mulberrypaddle.checks.findings import Finding, error, exit_status
from mulberrypaddle.checks.own_documents import (
    ParsedFolder,
    check_documents,
    parse_documents,
)
from mulberrypaddle.checks.platform_form import (
    check_platform_form,
    parse_platform_form,
)
from mulberrypaddle.cli.files import read_text
from mulberrypaddle.cli.folders import FOLDER_NAMES, load_document_folder
from mulberrypaddle.cli.output import EXIT_BAD_INPUT, print_json
from mulberrypaddle.operators.documents import DocumentKind

FORMATS = ("text", "json")

# Endings of files with one document of this project.
_DOCUMENT_SUFFIXES = (".yaml", ".yml")


class Configuration:
    """One configuration as it was read.

    Attributes:
        is_platform_form: Whether it is in the platform's form.
        value: Its content; None if it can't be parsed.
        findings: Its errors and warnings.
    """

    __slots__ = ("findings", "is_platform_form", "value")

    def __init__(
        self, value: Any, *, is_platform_form: bool, findings: list[Finding]
    ) -> None:
        self.value = value
        self.is_platform_form = is_platform_form
        self.findings = findings


def load_configuration(path: str) -> Configuration:
    """Reads and checks a configuration.

    Args:
        path: Folder of documents, one document in YAML, or else a file in the
            platform's form.
    """
    if pathlib.Path(path).is_dir():
        return _load_folder(path)
    read = read_text(path)
    if not isinstance(read, Success):
        return Configuration(
            None,
            is_platform_form=False,
            findings=[error(path, read.failure().detail)],
        )
    text = read.unwrap()
    if path.endswith(_DOCUMENT_SUFFIXES):
        return _load_document(path, text)
    parsed = parse_platform_form(text)
    findings = parsed.findings
    if parsed.value is not None or not findings:
        findings = [*findings, *check_platform_form(parsed.value)]
    return Configuration(parsed.value, is_platform_form=True, findings=findings)


def _load_folder(path: str) -> Configuration:
    """Reads and checks a folder of documents."""
    try:
        folder = load_document_folder(path)
    except (OSError, UnicodeDecodeError) as problem:
        return Configuration(
            None, is_platform_form=False, findings=[error(path, str(problem))]
        )
    parsed = parse_documents(
        {kind: folder.documents_of(kind) for kind in FOLDER_NAMES}
    )
    findings = check_documents(parsed)
    if not any(folder.names(kind) for kind in FOLDER_NAMES):
        findings.append(error(path, "has no documents"))
    return Configuration(
        _document_values(parsed), is_platform_form=False, findings=findings
    )


def _load_document(path: str, text: str) -> Configuration:
    """Reads and checks one document, without the others."""
    kind = _kind_of(text)
    if kind is None:
        names = ", ".join(kind.name_field for kind in DocumentKind)
        return Configuration(
            None,
            is_platform_form=False,
            findings=[error(path, f"is no document: has none of {names}")],
        )
    parsed = parse_documents({kind: [(pathlib.Path(path).stem, text)]})
    return Configuration(
        _document_values(parsed),
        is_platform_form=False,
        findings=parsed.findings,
    )


def _kind_of(text: str) -> DocumentKind | None:
    """Returns the kind of a document; None if it is none."""
    try:
        value = yaml.safe_load(text)
    except (yaml.YAMLError, ValueError, RecursionError):
        return None
    if not isinstance(value, dict):
        return None
    # A service has the field that names it in contracts too.
    for kind in (
        DocumentKind.CONTRACT,
        DocumentKind.DATA_CENTRE,
        DocumentKind.SERVICE,
    ):
        if kind.name_field in value:
            return kind
    return None


def _document_values(parsed: ParsedFolder) -> dict[str, Any]:
    """Returns the documents by kind and name, to be compared."""
    return {
        f"{kind.value} {name}": document
        for kind, by_name in parsed.documents.items()
        for name, document in by_name.items()
    }


def check(new_path: str, in_force_path: str) -> list[Finding]:
    """Returns all findings of a configuration.

    Args:
        new_path: The configuration.
        in_force_path: Version in force; empty for none.
    """
    new = load_configuration(new_path)
    findings = list(new.findings)
    if not in_force_path:
        return findings
    in_force = load_configuration(in_force_path)
    if in_force.value is None:
        findings.append(error(in_force_path, "can't be compared with"))
        return findings
    if new.value is None:
        return findings
    if new.is_platform_form is not in_force.is_platform_form:
        findings.append(error(in_force_path, "has another form"))
        return findings
    if new.is_platform_form:
        findings.extend(compare_versions(new.value, in_force.value))
    findings.extend(compare(new.value, in_force.value))
    return findings


def run_check(new_path: str, *, in_force_path: str, format_name: str) -> None:
    """Prints all findings and exits; see `Commands.check_configuration`."""
    if format_name not in FORMATS:
        print(
            f"got format {format_name!r}, expected one of {list(FORMATS)}",
            file=sys.stderr,
        )
        sys.exit(EXIT_BAD_INPUT)
    findings = check(new_path, in_force_path)
    if format_name == "json":
        print_json({"findings": [finding.as_fields() for finding in findings]})
    else:
        for finding in findings:
            severity = finding.severity.value
            print(f"{severity}: {finding.place}: {finding.message}")
        if not findings:
            print(f"{new_path}: no findings")
    sys.exit(exit_status(findings))
