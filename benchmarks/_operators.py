"""Two operators who sign, approve and roll out bundles by the commands."""

import pathlib
import subprocess
import sys

AUTHOR = 'author'
APPROVER = 'approver'
COMMAND_TIMEOUT_S = 30.0
COMMAND = pathlib.Path(sys.executable).with_name('rosemarycrank')


class CommandError(Exception):
    """A command that ended with an error."""


class Operators:
    """The keys of two operators, and the list that trusts them.

    Parameters
    ----------
    folder : pathlib.Path
        Where keys and signed bundles are kept.

    Attributes
    ----------
    trusted_keys_path : pathlib.Path
        The list of trusted keys.
    """

    def __init__(self, folder):
        self.trusted_keys_path = folder / 'trusted-keys.yaml'
        self._folder = folder
        for operator in (AUTHOR, APPROVER):
            self._command(
                ['key', 'create', operator],
                key=self._key_path(operator),
                trusted_keys=self.trusted_keys_path,
            )

    def roll_out(self, path, platform_url):
        """Sign, approve and roll out a bundle.

        Parameters
        ----------
        path : pathlib.Path
            The bundle.
        platform_url : str
            Base URL of the platform.

        Raises
        ------
        CommandError
            If one of the commands refuses.
        """
        signed = self._folder / f'{path.stem}.signed.json'
        self._command(
            ['bundle', 'sign', path],
            operator=AUTHOR,
            key=self._key_path(AUTHOR),
            out=signed,
        )
        self._command(
            ['bundle', 'approve', signed],
            operator=APPROVER,
            key=self._key_path(APPROVER),
        )
        self._command(
            ['bundle', 'roll-out', signed],
            platform=platform_url,
            trusted_keys=self.trusted_keys_path,
        )

    def _key_path(self, operator):
        return self._folder / f'{operator}.key'

    def _command(self, words, **options):
        arguments = [str(word) for word in words]
        for name, value in options.items():
            arguments += [f'--{name.replace("_", "-")}', str(value)]
        ended = subprocess.run(
            [COMMAND, *arguments],
            capture_output=True,
            text=True,
            timeout=COMMAND_TIMEOUT_S,
        )
        if ended.returncode != 0:
            raise CommandError(f'{arguments}: {ended.stdout}{ended.stderr}')
