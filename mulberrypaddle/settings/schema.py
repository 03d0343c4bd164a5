"""Reads YAML and checks it against a JSON schema, with clear errors."""

from __future__ import annotations

import functools
import importlib.resources
from typing import Any

import jsonschema
import yaml
from returns.result import Failure, Result, Success

from mulberrypaddle.core.errors import ErrorKind, Problem


class _LineLoader(yaml.SafeLoader):
    """A safe loader that refuses a key given twice."""


def _mapping_without_duplicates(
    loader: _LineLoader, node: yaml.MappingNode
) -> dict[Any, Any]:
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


_LineLoader.add_constructor(
    yaml.resolver.BaseResolver.DEFAULT_MAPPING_TAG, _mapping_without_duplicates
)


@functools.cache
def _validator(schema_name: str) -> jsonschema.Draft202012Validator:
    source = importlib.resources.files("mulberrypaddle.settings").joinpath(
        f"{schema_name}.schema.yaml"
    )
    schema = yaml.safe_load(source.read_text(encoding="utf-8"))
    return jsonschema.Draft202012Validator(schema)


def load_yaml(text: str, *, source: str) -> Result[Any, Problem]:
    """Reads one YAML document.

    Args:
        text: The document.
        source: Name for error messages, usually the file's.

    Returns:
        The plain value, or INVALID_CONFIG with the line.
    """
    try:
        return Success(yaml.load(text, Loader=_LineLoader))
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


def _line_of(text: str, path: list[str | int]) -> int | None:
    """Returns the line, from one, of a path in a YAML document."""
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
    """Reads a document and checks it as a whole.

    Args:
        text: The YAML document.
        schema_name: `settings`, `contract`, `service` or `data_centre`.
        source: Name for error messages.

    Returns:
        The plain value, or INVALID_CONFIG with file, line, path, rule and
        the value got for every fault.
    """
    loaded = load_yaml(text, source=source)
    if not isinstance(loaded, Success):
        return loaded
    value = loaded.unwrap()
    faults = []
    for error in _validator(schema_name).iter_errors(value):
        path = list(error.absolute_path)
        dotted = ".".join(str(step) for step in path) or "(document)"
        line = _line_of(text, path)
        faults.append(f"{source}:{line}: {dotted}: {error.message}")
    if faults:
        return Failure(Problem(ErrorKind.INVALID_CONFIG, "\n".join(faults)))
    return Success(value)
