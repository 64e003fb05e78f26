"""The command-line tool `oriolectl`."""

from oriolepaddle.ctl.commands import app

__all__ = ["main"]


def main() -> None:
    """Run the command line."""
    app(prog_name="oriolectl")


if __name__ == "__main__":
    main()
