"""Record of what was sent, answered and run."""

import time


class Record:
    """Lines with the seconds since the start, written to ``record.txt``."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._started_at = time.monotonic()

    def now(self):
        """Return the seconds since the start of the script."""
        return time.monotonic() - self._started_at

    def line(self, kind, *words):
        """Write one line."""
        text = ' '.join(str(word) for word in words)
        self._file.write(f'{self.now():8.3f} {kind} {text}\n')
        self._file.flush()

    def say(self, text):
        """Write a line, and print it."""
        self.line('note', text)
        print(text, flush=True)
