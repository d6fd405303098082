"""Fail if docs/SETTINGS.md does not match the settings models."""

from __future__ import annotations

import difflib
from pathlib import Path
import sys

from bamboospring import settings_reference

PAGE = Path(__file__).resolve().parent.parent / "docs" / "SETTINGS.md"


def main() -> int:
    """Print the difference and return 1 if there is one, else 0."""
    difference = list(
        difflib.unified_diff(
            PAGE.read_text().splitlines(),
            settings_reference.page().splitlines(),
            "committed",
            "generated",
            lineterm="",
        )
    )
    print("\n".join(difference))
    return 1 if difference else 0


if __name__ == "__main__":
    sys.exit(main())
