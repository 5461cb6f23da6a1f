"""Run an entry process on the users' platform."""

from marjoramfall.platform.daemon import main

main()
