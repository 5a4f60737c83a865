"""Entry point of a node on the users' platform."""

from rosemarycrank.platform import _early_signals
from rosemarycrank.platform import _standard_descriptors


def main():
    """Run a node until SIGTERM, and then until its planned stop ends."""
    _standard_descriptors.open_missing()
    signals = _early_signals.EarlySignals()
    # Imported late, as signals may come during the imports, which take most
    # of the start.
    from rosemarycrank.platform import _program

    _program.run(signals)


if __name__ == '__main__':
    main()
