"""Run `serve` without counts of the statements in flight to each holder.

bench/overload.py compares this variant with the normal program. Without the
counts, an entry that is a holder sends all statements to itself, and the other
entries send them to the holders in turn.
"""

import sys

from bamboospring import cli
from bamboospring.forwarding import Forwarder

Forwarder._count = lambda self, group, vm, change: None


def main() -> None:
    """Serve with the settings file given after `serve --settings`."""
    sys.exit(cli.serve(sys.argv[3]))


if __name__ == "__main__":
    main()
