"""Run the command line as `python -m marjoramfall`."""

from marjoramfall.cli import main

main()
