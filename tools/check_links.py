"""Checks that the Markdown pages link only to existing files."""

from __future__ import annotations

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).parents[1]
_LINK = re.compile(r"\[[^\]]*\]\(([^)#\s]+)[^)]*\)")
_NAMED_FILE = re.compile(
    r"`((?:docs|tests|properties|benchmarks|examples|"
    r"mulberrypaddle|tools)/[\w./-]+\.\w+)`"
)


def broken_links(page: pathlib.Path) -> list[str]:
    """Returns the relative links and quoted paths that don't exist."""
    text = page.read_text(encoding="utf-8")
    broken = []
    for target in _LINK.findall(text):
        if "://" in target:
            continue
        if not (page.parent / target).exists():
            broken.append(target)
    for target in _NAMED_FILE.findall(text):
        if not (ROOT / target).exists():
            broken.append(target)
    return broken


def main() -> int:
    """Prints every broken link and returns 1 if there is one."""
    pages = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
    status = 0
    for page in pages:
        for target in broken_links(page):
            print(f"{page.relative_to(ROOT)}: broken link to {target}")
            status = 1
    return status


if __name__ == "__main__":
    sys.exit(main())
