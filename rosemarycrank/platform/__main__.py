"""Entry point of a node on the users' platform."""

import signal

from rosemarycrank.platform import _standard_descriptors
from rosemarycrank import process_signals


def main():
    """Run a node until SIGTERM, and then until its planned stop ends."""
    _standard_descriptors.open_missing()
    signals = process_signals.ProcessSignals((signal.SIGHUP, signal.SIGTERM))
    # Imported late, as signals may come during the imports, which take most
    # of the start.
    from rosemarycrank.platform import _program

    try:
        _program.run(signals)
    finally:
        signals.ignore()


if __name__ == '__main__':
    main()
