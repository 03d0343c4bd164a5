"""Generates docs/reference.md from the schemas.

With `--check` it writes nothing and fails if the page is out of date.
"""

from __future__ import annotations

import pathlib
import sys
from typing import Any

import yaml

ROOT = pathlib.Path(__file__).parents[1]
SCHEMAS = ROOT / "mulberrypaddle" / "settings"
PAGE = ROOT / "docs" / "reference.md"
SCHEMA_NAMES = ("settings", "contract", "service", "data_centre")
_RULES = (
    "pattern",
    "minimum",
    "exclusiveMinimum",
    "maximum",
    "minItems",
    "maxItems",
    "maxLength",
)


def _describe_rule(field: dict[str, Any]) -> str:
    """Returns the type and the constraints of a schema field as text."""
    if "enum" in field:
        return "one of " + ", ".join(f"`{item}`" for item in field["enum"])
    parts = [str(field.get("type", ""))]
    for rule in _RULES:
        if rule in field:
            parts.append(f"{rule} `{field[rule]}`".replace("|", "\\|"))
    items = field.get("items", {})
    if "pattern" in items:
        parts.append(f"each like `{items['pattern']}`".replace("|", "\\|"))
    return ", ".join(part for part in parts if part)


def _table_rows(
    schema: dict[str, Any], prefix: str, definitions: dict[str, Any]
) -> list[str]:
    """Returns the table rows of a schema's fields, nested ones included.

    Args:
        schema: The JSON schema of an object.
        prefix: Path of the object, which is put before each field name.
        definitions: The `$defs` that `$ref` entries refer to, by name.
    """
    rows = []
    required = schema.get("required", [])
    for name, field in schema.get("properties", {}).items():
        path = f"{prefix}{name}"
        reference = field.get("$ref", "").rsplit("/", 1)[-1]
        resolved = {**definitions.get(reference, {}), **field}
        required_text = "yes" if name in required else "no"
        description = resolved.get("description", "")
        rule = _describe_rule(resolved)
        rows.append(f"| `{path}` | {required_text} | {rule} | {description} |")
        rows.extend(_table_rows(resolved, path + ".", definitions))
        items = resolved.get("items", {})
        rows.extend(_table_rows(items, path + "[].", definitions))
    return rows


def make_page() -> str:
    """Returns the text of the page."""
    parts = [
        "# Reference of settings and documents",
        "",
        "Made from the schemas (`make reference`). Unknown fields are refused.",
    ]
    for name in SCHEMA_NAMES:
        path = SCHEMAS / f"{name}.schema.yaml"
        schema = yaml.safe_load(path.read_text(encoding="utf-8"))
        parts.extend(["", f"## {schema['title']}", "", schema["description"]])
        parts.extend(["", "| field | required | rule | meaning |"])
        parts.append("| --- | --- | --- | --- |")
        parts.extend(_table_rows(schema, "", schema.get("$defs", {})))
    return "\n".join(parts) + "\n"


def main() -> int:
    """Writes the page; with `--check` returns 1 if it is out of date."""
    page = make_page()
    if "--check" not in sys.argv:
        PAGE.write_text(page, encoding="utf-8")
        return 0
    if PAGE.is_file() and PAGE.read_text(encoding="utf-8") == page:
        return 0
    print(
        "docs/reference.md is out of date: run 'make reference'",
        file=sys.stderr,
    )
    return 1


if __name__ == "__main__":
    sys.exit(main())
