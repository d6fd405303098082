"""Let `python -m bamboospring` be the command."""

from bamboospring.cli import main

if __name__ == "__main__":
    main()
