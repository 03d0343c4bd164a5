"""Checks that the identifiers quoted in the pages exist in the code."""

from __future__ import annotations

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).parents[1]
_FOLDERS = (
    "mulberrypaddle",
    "tests",
    "properties",
    "soak",
    "benchmarks",
    "tools",
    "deploy",
    "examples",
    ".ci",
)
_SUFFIXES = frozenset(
    {".py", ".sh", ".yaml", ".toml", ".txt", ".proto", ".golden", ".json", ""}
)
_QUOTED = re.compile(r"`([^`\n]+)`")
# Units that `_IDENTIFIER` matches.
_UNITS = frozenset({"KiB", "MiB"})
# Suffix that the metrics library adds to the name of a counter.
_COUNTER_SUFFIX = "_total"
# An underscore, an inner capital or call parentheses tell an identifier from
# a plain word.
_IDENTIFIER = re.compile(r"[A-Za-z_]\w*_\w*|[A-Z]?[a-z]+(?:[A-Z]\w*)+|\w+\(\)")


def _source_words() -> set[str]:
    """Returns all words and file names (without suffix) of the sources."""
    words: set[str] = set()
    paths = [ROOT / "Makefile", ROOT / "pyproject.toml"]
    for folder in _FOLDERS:
        paths.extend((ROOT / folder).rglob("*"))
    for path in paths:
        if not path.is_file() or path.suffix not in _SUFFIXES:
            continue
        words.add(path.stem)
        words.update(re.findall(r"\w+", path.read_text(encoding="utf-8")))
    return words


def _is_known(name: str, words: set[str]) -> bool:
    """Returns whether the sources contain an identifier."""
    if name.startswith("_"):
        # A page may give only the suffix of a name that it gave in full before.
        return any(word.endswith(name) for word in words)
    return name in words or name.removesuffix(_COUNTER_SUFFIX) in words


def unknown_names(text: str, words: set[str]) -> list[str]:
    """Returns the quoted identifiers of a page that are not in `words`."""
    unknown = []
    for quoted in _QUOTED.findall(text):
        for name in re.findall(r"[\w.]+(?:\(\))?", quoted):
            for part in name.split("."):
                if part in _UNITS or not _IDENTIFIER.fullmatch(part):
                    continue
                if not _is_known(part.removesuffix("()"), words):
                    unknown.append(part)
    return unknown


def main() -> int:
    """Prints all unknown identifiers and returns 1 if there are any."""
    words = _source_words()
    pages = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
    status = 0
    for page in pages:
        for name in unknown_names(page.read_text(encoding="utf-8"), words):
            print(f"{page.relative_to(ROOT)}: {name} occurs in no source file")
            status = 1
    return status


if __name__ == "__main__":
    sys.exit(main())
