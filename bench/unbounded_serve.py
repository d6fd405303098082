"""`serve` without admission, as the baseline of bench/overload.py.

Every statement waits in order of arrival until its deadline; nothing is
refused by estimate, by caller or by length.
"""

import sys

from bamboospring.admission import Admission
from bamboospring import cli

Admission._refusal = lambda self, ticket, now: None


def _place(self, ticket):
    ticket.number = next(self._numbers)
    ticket.round = 0
    ticket.deadline += 0.0


Admission._place = _place
Admission._comes_too_late = lambda self, ticket, now: False


def main() -> None:
    """Serve with the settings named after `serve --settings`."""
    sys.exit(cli.serve(sys.argv[3]))


if __name__ == "__main__":
    main()
