"""Parses YAML and validates it against a JSON schema."""

from __future__ import annotations

import functools
import importlib.resources
from typing import Any

import jsonschema
import yaml
from returns.result import Failure, Result, Success

from mulberrypaddle.core.errors import ErrorKind, Problem


class _UniqueKeyLoader(yaml.SafeLoader):
    """A safe YAML loader that rejects duplicate keys in a mapping."""


def _construct_unique_mapping(
    loader: _UniqueKeyLoader, node: yaml.MappingNode
) -> dict[Any, Any]:
    """Constructs a mapping; a duplicate key is an error."""
    seen: set[Any] = set()
    for key_node, _ in node.value:
        key = loader.construct_object(key_node)
        if key in seen:
            raise yaml.constructor.ConstructorError(
                None,
                None,
                f"got the field {key!r} twice, allowed is once",
                key_node.start_mark,
            )
        seen.add(key)
    return loader.construct_mapping(node, deep=True)


_UniqueKeyLoader.add_constructor(
    yaml.resolver.BaseResolver.DEFAULT_MAPPING_TAG, _construct_unique_mapping
)


@functools.cache
def _schema_validator(schema_name: str) -> jsonschema.Draft202012Validator:
    """Returns the validator for a schema file of this package."""
    source = importlib.resources.files("mulberrypaddle.settings").joinpath(
        f"{schema_name}.schema.yaml"
    )
    schema = yaml.safe_load(source.read_text(encoding="utf-8"))
    return jsonschema.Draft202012Validator(schema)


def schema_violations(
    value: Any, *, schema_name: str
) -> list[tuple[list[str | int], str]]:
    """Returns the path and the message of each violation of a schema.

    Args:
        value: Parsed document.
        schema_name: Name of the schema file without its extensions.
    """
    return [
        (list(error.absolute_path), error.message)
        for error in _schema_validator(schema_name).iter_errors(value)
    ]


def load_yaml(text: str, *, source: str) -> Result[Any, Problem]:
    """Parses one YAML document.

    Args:
        text: The document.
        source: Name of the document in error messages, usually its path.

    Returns:
        The parsed value, or INVALID_CONFIG with source, line and error.
    """
    try:
        return Success(yaml.load(text, Loader=_UniqueKeyLoader))
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark
        line = "?" if mark is None else str(mark.line + 1)
        return Failure(
            Problem(
                ErrorKind.INVALID_CONFIG, f"{source}:{line}: {error.problem}"
            )
        )
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        return Failure(Problem(ErrorKind.INVALID_CONFIG, f"{source}: {error}"))


def _find_line(text: str, path: list[str | int]) -> int | None:
    """Returns the line number, counted from one, of a path in a document.

    Args:
        text: The YAML document.
        path: Keys and list indices from the root to the value; a key that
            is missing is skipped.

    Returns:
        The line of the deepest element found, or None if the document is
        empty.
    """
    node = yaml.compose(text, Loader=yaml.SafeLoader)
    line = None if node is None else node.start_mark.line + 1
    for step in path:
        if isinstance(node, yaml.SequenceNode) and isinstance(step, int):
            node = node.value[step]
        elif isinstance(node, yaml.MappingNode):
            for key_node, value_node in node.value:
                if key_node.value == step:
                    node = value_node
                    line = key_node.start_mark.line + 1
                    break
            continue
        if node is not None:
            line = node.start_mark.line + 1
    return line


def check_document(
    text: str, *, schema_name: str, source: str
) -> Result[Any, Problem]:
    """Parses a document and validates it against its schema.

    Args:
        text: The YAML document.
        schema_name: `settings`, `contract`, `service` or `data_centre`.
        source: Name of the document in error messages.

    Returns:
        The parsed value, or INVALID_CONFIG with one line per violation:
        source, line, path, and the violated rule with the value found.
    """
    loaded = load_yaml(text, source=source)
    if not isinstance(loaded, Success):
        return loaded
    value = loaded.unwrap()
    violations = []
    for path, message in schema_violations(value, schema_name=schema_name):
        dotted = ".".join(str(step) for step in path) or "(document)"
        line = _find_line(text, path)
        violations.append(f"{source}:{line}: {dotted}: {message}")
    if violations:
        return Failure(Problem(ErrorKind.INVALID_CONFIG, "\n".join(violations)))
    return Success(value)
