"""Encodes and decodes the configuration document."""

from __future__ import annotations

import msgspec
from result import Err
from result import Ok
from result import Result

from ..decode_errors import DECODE_ERRORS
from ..errors import DispatchError
from ..errors import ErrorKind
from ..ticket import ConfigurationDocument


CONFIGURATION_KEY = b"/jackdawkeel/configuration"
MAX_DOCUMENT_BYTES = 1_000_000


def encode_document(document: ConfigurationDocument) -> bytes:
    """Encodes a document as JSON; equal documents give equal bytes."""
    return msgspec.json.encode(document, order="deterministic")


def decode_document(encoded: bytes) -> Result[ConfigurationDocument, DispatchError]:
    """Decodes a document; an empty value is the empty document."""
    if not encoded:
        return Ok(ConfigurationDocument())
    try:
        return Ok(msgspec.json.decode(encoded, type=ConfigurationDocument))
    except DECODE_ERRORS as error:
        message = f"the stored configuration cannot be decoded: {error}"
        return Err(DispatchError(ErrorKind.INTERNAL, message))
