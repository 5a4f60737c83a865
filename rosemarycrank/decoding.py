"""Decoding of JSON and MessagePack that may come from anywhere."""

import msgspec


#: What a decoder raises for data that it cannot decode.
ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)


class DecodeError(ValueError):
    """Raised for data that cannot be decoded."""


def decode(decoder, data):
    """Decode data, with one error for all that may be wrong with it.

    Parameters
    ----------
    decoder : msgspec.json.Decoder or msgspec.msgpack.Decoder
        Decoder for the type of the data.
    data : bytes
        Encoded data.

    Raises
    ------
    DecodeError
        If the data is malformed, has another type, or is nested too deeply,
        be it in a part that the type does not name.
    """
    try:
        return decoder.decode(data)
    except ERRORS as error:
        raise DecodeError(str(error)) from error
