"""Run `serve` without admission, as the baseline of bench/overload.py.

Statements wait in order of arrival until their deadline. None is refused
because of the estimated wait or its caller, and retries have no budget.
"""

import sys

from bamboospring import admission
from bamboospring import cli
from bamboospring.retry_budget import RetryBudget

admission.MIN_REMAINING_FACTOR = 0.0
admission.Admission._refusal = lambda self, ticket, now: None
admission.Admission._refuse_hopeless = lambda self, now: []
admission.Ticket.key = property(lambda self: (0, 0.0, self.number))
RetryBudget.spend_retry = lambda self: True


def main() -> None:
    """Serve with the settings file given after `serve --settings`."""
    sys.exit(cli.serve(sys.argv[3]))


if __name__ == "__main__":
    main()
