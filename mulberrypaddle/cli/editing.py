"""Changes single values of a YAML document, preserving all other text."""

from __future__ import annotations

import yaml
from returns.result import Failure, Result, Success

from mulberrypaddle.core.errors import ErrorKind, Problem


def set_value(text: str, assignment: str) -> Result[str, Problem]:
    """Replaces one scalar; comments and formatting are preserved.

    Args:
        text: The YAML document.
        assignment: `path=value`; the steps of the path are separated by
            dots, and a list item is selected by its index or by the value
            of its `service` field.

    Returns:
        The changed document, or BAD_REQUEST with the allowed steps.
    """
    path, separator, value = assignment.partition("=")
    if not separator or not path:
        return _bad_request(f"got {assignment!r}, allowed is PATH=VALUE")
    node = yaml.compose(text, Loader=yaml.SafeLoader)
    for step in path.split("."):
        child = _find_child(node, step)
        if child is None:
            allowed = ", ".join(_child_names(node)) or "nothing"
            return _bad_request(
                f"got {step!r} in {path!r}, allowed are: {allowed}"
            )
        node = child
    if not isinstance(node, yaml.ScalarNode):
        return _bad_request(
            f"got {path!r}, allowed is the path of a single value"
        )
    start = node.start_mark.index
    end = node.end_mark.index
    return Success(text[:start] + value + text[end:])


def _bad_request(detail: str) -> Failure[Problem]:
    """Returns a BAD_REQUEST failure with the given detail."""
    return Failure(Problem(ErrorKind.BAD_REQUEST, detail))


def _find_child(node: yaml.Node | None, step: str) -> yaml.Node | None:
    """Returns the child selected by one step of a path, or None."""
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            if key.value == step:
                return value
        return None
    if not isinstance(node, yaml.SequenceNode):
        return None
    for index, item in enumerate(node.value):
        if step in (str(index), _service_name(item)):
            return item
    return None


def _service_name(node: yaml.Node) -> str | None:
    """Returns the scalar `service` field of a mapping, or None."""
    service = _find_child(node, "service")
    return service.value if isinstance(service, yaml.ScalarNode) else None


def _child_names(node: yaml.Node | None) -> list[str]:
    """Returns the path steps that are valid below a node."""
    if isinstance(node, yaml.MappingNode):
        return [key.value for key, _ in node.value]
    if not isinstance(node, yaml.SequenceNode):
        return []
    steps = []
    for index, item in enumerate(node.value):
        steps.append(_service_name(item) or str(index))
    return steps
