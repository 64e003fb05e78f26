"""The daemon `oriolepaddled`."""

from oriolepaddle.process_signals import catch_signals

__all__ = ["main"]


def main() -> None:
    """Run the command line."""
    catch_signals()
    # Loading the modules takes so long that signals arrive meanwhile.
    from oriolepaddle.daemon.command import app

    app()


if __name__ == "__main__":
    main()
