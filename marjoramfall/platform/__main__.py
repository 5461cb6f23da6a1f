"""Start an entry on the users' platform."""

from marjoramfall.platform.daemon import main

main()
