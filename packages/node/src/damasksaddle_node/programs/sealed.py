"""
Sealed records: records that are not durable yet, for the caller to keep.

They are encrypted and authenticated with a key that is derived from the fleet
secret, so a caller can store them but can neither read nor modify them.
"""

import base64
import json
import secrets

from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers.aead import AESGCM
from cryptography.hazmat.primitives.hashes import SHA256
from cryptography.hazmat.primitives.kdf.hkdf import HKDF

from damasksaddle.exceptions import BadRequest
from damasksaddle_node.programs.records import ProgramRecord, load_program_record

NONCE_BYTES = 12
KEY_BYTES = 32


class Sealer:
    """
    Seals and opens the records of a program.

    The workspace and program id are authenticated as associated data, so the sealed
    records of one program are rejected for any other.
    """

    def __init__(self, fleet_secret: str) -> None:
        key_derivation = HKDF(
            SHA256(), KEY_BYTES, salt=None, info=b"damasksaddle sealed"
        )
        self._cipher = AESGCM(key_derivation.derive(fleet_secret.encode()))

    def seal(self, workspace: str, program_id: str, records: list[str]) -> str:
        """Returns encrypted records as a base64 text."""
        nonce = secrets.token_bytes(NONCE_BYTES)
        data = json.dumps(records).encode()
        associated_data = f"{workspace}\0{program_id}".encode()
        return base64.urlsafe_b64encode(
            nonce + self._cipher.encrypt(nonce, data, associated_data)
        ).decode()

    def open(self, workspace: str, program_id: str, text: str) -> list[ProgramRecord]:
        """Decrypts a sealed text and returns its records; raises `BadRequest`."""
        associated_data = f"{workspace}\0{program_id}".encode()
        try:
            data = base64.urlsafe_b64decode(text.encode())
            nonce, ciphertext = data[:NONCE_BYTES], data[NONCE_BYTES:]
            record_texts = json.loads(
                self._cipher.decrypt(nonce, ciphertext, associated_data)
            )
        except (InvalidTag, ValueError) as error:
            raise BadRequest("the sealed record is not valid here") from error
        return [load_program_record(text) for text in record_texts]
