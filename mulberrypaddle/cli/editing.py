"""Changes single values of a YAML document and leaves the rest as it is."""

from __future__ import annotations

import yaml
from returns.result import Failure, Result, Success

from mulberrypaddle.core.errors import ErrorKind, Problem


def set_value(text: str, assignment: str) -> Result[str, Problem]:
    """Replaces one scalar; comments and layout stay.

    Args:
        text: The document.
        assignment: `path=value`; the path's steps are parted by dots, and
            an item of a list is named by its index or by its `service`.

    Returns:
        The new document, or BAD_REQUEST with what is allowed.
    """
    path, separator, value = assignment.partition("=")
    if not separator or not path:
        return _bad(f"got {assignment!r}, allowed is PATH=VALUE")
    node = yaml.compose(text, Loader=yaml.SafeLoader)
    for step in path.split("."):
        child = _child(node, step)
        if child is None:
            allowed = ", ".join(_steps(node)) or "nothing"
            return _bad(f"got {step!r} in {path!r}, allowed are: {allowed}")
        node = child
    if not isinstance(node, yaml.ScalarNode):
        return _bad(f"got {path!r}, allowed is the path of a single value")
    begin = node.start_mark.index
    end = node.end_mark.index
    return Success(text[:begin] + value + text[end:])


def _bad(detail: str) -> Failure[Problem]:
    return Failure(Problem(ErrorKind.BAD_REQUEST, detail))


def _child(node: yaml.Node | None, step: str) -> yaml.Node | None:
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            if key.value == step:
                return value
        return None
    if not isinstance(node, yaml.SequenceNode):
        return None
    for index, item in enumerate(node.value):
        if step in (str(index), _service_of(item)):
            return item
    return None


def _service_of(node: yaml.Node) -> str | None:
    service = _child(node, "service")
    return service.value if isinstance(service, yaml.ScalarNode) else None


def _steps(node: yaml.Node | None) -> list[str]:
    if isinstance(node, yaml.MappingNode):
        return [key.value for key, _ in node.value]
    if not isinstance(node, yaml.SequenceNode):
        return []
    steps = []
    for index, item in enumerate(node.value):
        steps.append(_service_of(item) or str(index))
    return steps
