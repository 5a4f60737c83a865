"""Ed25519 key pairs, signatures, and the files that hold private keys."""

import os
import pathlib

from cryptography import exceptions
from cryptography.hazmat.primitives.asymmetric import ed25519

KEY_FILE_MODE = 0o600
SEED_BYTES = 32
MAX_KEY_FILE_BYTES = 256


class KeyFileError(ValueError):
    """The file does not contain a private Ed25519 key."""


class PrivateKey:
    """A private Ed25519 key.

    Parameters
    ----------
    key : cryptography Ed25519PrivateKey
        The key.
    """

    def __init__(self, key):
        self._key = key

    @classmethod
    def create(cls):
        """Return a new random key."""
        return cls(ed25519.Ed25519PrivateKey.generate())

    @classmethod
    def from_seed(cls, seed):
        """Return the key that is derived from 32 secret bytes."""
        return cls(ed25519.Ed25519PrivateKey.from_private_bytes(seed))

    @classmethod
    def read(cls, path):
        """Read a key from a file that contains its seed in hexadecimal.

        Parameters
        ----------
        path : str or path-like
            The file.

        Returns
        -------
        PrivateKey
            The key.

        Raises
        ------
        KeyFileError
            If the file cannot be read or does not contain a 32-byte seed.
        """
        try:
            with open(path, 'rb') as file:
                text = file.read(MAX_KEY_FILE_BYTES)
            seed = bytes.fromhex(text.decode('ascii').strip())
        except (OSError, ValueError) as error:
            raise KeyFileError(f'{path}: {error}') from error
        if len(seed) != SEED_BYTES:
            raise KeyFileError(
                f'{path}: seed: got {len(seed)} bytes, allowed {SEED_BYTES}'
            )
        return cls.from_seed(seed)

    @property
    def public_key(self):
        """Public key in hexadecimal."""
        return self._key.public_key().public_bytes_raw().hex()

    def write(self, path):
        """Write the key to a new file that only its owner can read.

        Parameters
        ----------
        path : str or path-like
            Path of the file, which must not exist yet.

        Raises
        ------
        FileExistsError
            If the file exists, since keys are never overwritten.
        """
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
        descriptor = os.open(path, flags, KEY_FILE_MODE)
        with os.fdopen(descriptor, 'w') as file:
            file.write(f'{self._key.private_bytes_raw().hex()}\n')

    def sign(self, message):
        """Return the signature of a message.

        Parameters
        ----------
        message : bytes
            Data to sign.

        Returns
        -------
        str
            Signature in hexadecimal.
        """
        return self._key.sign(message).hex()


def verify(public_key, signature, message):
    """Return whether a signature is valid.

    Parameters
    ----------
    public_key, signature : str
        Hexadecimal values; malformed ones are not valid.
    message : bytes
        Data that was signed.

    Returns
    -------
    bool
        True if the signature is valid.
    """
    try:
        key = ed25519.Ed25519PublicKey.from_public_bytes(
            bytes.fromhex(public_key)
        )
        key.verify(bytes.fromhex(signature), message)
    except (ValueError, exceptions.InvalidSignature):
        return False
    return True


def replace_file(path, text):
    """Replace the content of a file atomically.

    Parameters
    ----------
    path : str or path-like
        The file.
    text : str
        New content.

    Raises
    ------
    OSError
        If the folder is not writable.
    """
    path = pathlib.Path(path)
    temporary = path.with_name(f'{path.name}.new')
    temporary.write_text(text)
    os.replace(temporary, path)
