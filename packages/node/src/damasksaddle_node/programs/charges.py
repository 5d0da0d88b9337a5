"""Reads the charges from the commit streams, for operators."""

from collections.abc import AsyncGenerator
from dataclasses import dataclass

from damasksaddle.platform import ObjectStore, Table
from damasksaddle_node.commit import EntryKind, StreamArchive, load_row
from damasksaddle_node.programs.records import (
    CallFinished,
    Outcome,
    load_program_record,
)


@dataclass(frozen=True, slots=True)
class Charge:
    """The charge for one call, in micros (millionths)."""

    call_id: str
    workspace: str
    program_id: str
    route: str
    upstream: str
    outcome: Outcome
    charge_micros: int
    prompt_tokens: int
    output_tokens: int
    at_unix_s: int


async def read_charges(
    table: Table, objects: ObjectStore, streams: int
) -> list[Charge]:
    """
    Returns one charge for each call whose record is durable, by call id.

    A call of unknown outcome is charged 0 until its outcome is resolved. Truncated
    rows are read from the object store. Raises `PlatformError`.

    >>> charges = await read_charges(table, objects, 4)
    >>> sum(charge.charge_micros for charge in charges)
    1250
    """
    charges: dict[str, Charge] = {}
    for stream in range(streams):
        async for record in _finished_calls(StreamArchive(table, objects, stream)):
            # The same rule as in `PartitionState.apply`: the first record of a call
            # counts, and a later one may resolve its unknown outcome.
            earlier = charges.get(record.call_id)
            if earlier is None or (
                earlier.outcome is Outcome.UNKNOWN and record.outcome is Outcome.OK
            ):
                charges[record.call_id] = charge_from_record(record)
    return [charges[call_id] for call_id in sorted(charges)]


async def _finished_calls(archive: StreamArchive) -> AsyncGenerator[CallFinished, None]:
    async for value in archive.row_values():
        for entry in load_row(value).entries:
            if entry.kind is not EntryKind.RECORDS:
                continue
            for text in entry.records:
                record = load_program_record(text)
                if (
                    isinstance(record, CallFinished)
                    and record.outcome is not Outcome.NOT_RUN
                ):
                    yield record


def charge_from_record(record: CallFinished) -> Charge:
    """Returns the charge that a call's record contains."""
    return Charge(
        record.call_id,
        record.workspace,
        record.program_id,
        record.route,
        record.upstream,
        record.outcome,
        record.charge_micros,
        record.prompt_tokens,
        record.output_tokens,
        record.at_unix_s,
    )
