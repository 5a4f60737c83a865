"""Signs, approves and rolls out bundles with the commands of operators."""

import pathlib
import subprocess
import sys

AUTHOR = 'author'
APPROVER = 'approver'
COMMAND_TIMEOUT_S = 30.0
COMMAND = pathlib.Path(sys.executable).with_name('rosemarycrank')


class CommandError(Exception):
    """A command ended with an exit status other than 0."""


class Operators:
    """Two operators, an author and an approver, with their own keys.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of the keys and the signed bundles.

    Attributes
    ----------
    trusted_keys_path : pathlib.Path
        File that lists both keys as trusted.
    """

    def __init__(self, folder):
        self.trusted_keys_path = folder / 'trusted-keys.yaml'
        self._folder = folder
        for operator in (AUTHOR, APPROVER):
            self._run_command(
                ['key', 'create', operator],
                key=self._key_path(operator),
                trusted_keys=self.trusted_keys_path,
            )

    def roll_out(self, path, platform_url):
        """Sign, approve and roll out a bundle.

        Parameters
        ----------
        path : pathlib.Path
            File of the bundle's content, in YAML.
        platform_url : str
            Base URL of the platform.

        Raises
        ------
        CommandError
            If one of the commands fails.
        """
        signed = self._folder / f'{path.stem}.signed.json'
        self._run_command(
            ['bundle', 'sign', path],
            operator=AUTHOR,
            key=self._key_path(AUTHOR),
            out=signed,
        )
        self._run_command(
            ['bundle', 'approve', signed],
            operator=APPROVER,
            key=self._key_path(APPROVER),
        )
        self._run_command(
            ['bundle', 'roll-out', signed],
            platform=platform_url,
            trusted_keys=self.trusted_keys_path,
        )

    def _key_path(self, operator):
        return self._folder / f'{operator}.key'

    def _run_command(self, command, **options):
        arguments = [str(part) for part in command]
        for name, value in options.items():
            arguments += [f'--{name.replace("_", "-")}', str(value)]
        completed = subprocess.run(
            [COMMAND, *arguments],
            capture_output=True,
            text=True,
            timeout=COMMAND_TIMEOUT_S,
        )
        if completed.returncode != 0:
            raise CommandError(
                f'{arguments}: {completed.stdout}{completed.stderr}'
            )
