"""Run the stand-ins' command line."""

from marjoramfall_standins.cli import main

if __name__ == '__main__':
    main()
