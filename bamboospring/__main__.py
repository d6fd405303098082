"""Run the command line with `python -m bamboospring`."""

from bamboospring.cli import main

if __name__ == "__main__":
    main()
