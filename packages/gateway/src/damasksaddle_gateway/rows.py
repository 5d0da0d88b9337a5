"""Changes a row by compare-and-set until it holds."""

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from damasksaddle.exceptions import ResponseLost, TableUnavailable, WriteConflict
from damasksaddle.platform import Put, Row
from damasksaddle.utils import boottime_s, new_id
from damasksaddle_gateway.store import StoreGate

# Tries before a change that keeps losing against other VMs is given up.
MAX_TRIES = 6
# A change is not tried again after this time; a request waits for most of them.
PATIENCE_S = 0.8


@dataclass(slots=True)
class CachedRow:
    """A row as this VM last saw it; version 0 means that it does not exist."""

    key: str
    version: int = 0
    value: dict[str, Any] | None = None


Change = Callable[[dict[str, Any] | None], dict[str, Any] | None]


async def change_row(
    table: StoreGate,
    cached: CachedRow,
    change: Change,
    reread: bool = False,
) -> bool:
    """
    Applies a change to the current value of a row.

    `change` gets the value, or None if there is no row, and returns the new one, or
    None to leave the row as it is; with `reread` it may say so only of a value that
    was just read. Returns whether a value was written. Each value carries the id of
    the change, so that a change whose answer was lost is recognized when it is
    sent again. Raises `TableUnavailable` if the change did not take effect, and
    `ResponseLost` if that is not known.
    """
    operation = new_id("op")
    uncertain = False
    began_s = boottime_s()
    for tries in range(MAX_TRIES):
        if tries and boottime_s() - began_s > PATIENCE_S:
            break
        value = change(cached.value)
        if value is None:
            if uncertain:
                raise ResponseLost(cached.key)
            if not reread:
                return False
            _note(cached, await table.row(cached.key))
            reread = False
            continue
        value = {**value, "operation": operation}
        put = Put(cached.key, json.dumps(value), cached.version)
        try:
            page = await table.commit([put], tried=tries)
        except WriteConflict as error:
            rows = [row for row in error.rows if row.key == cached.key]
            _note(cached, rows[0] if rows else None)
            reread = False
            if cached.value and cached.value.get("operation") == operation:
                return True
            if uncertain:
                # The lost write may have been applied and then changed by others.
                raise ResponseLost(cached.key) from error
            continue
        except ResponseLost:
            uncertain = True
            continue
        except TableUnavailable as error:
            if uncertain:
                raise ResponseLost(cached.key) from error
            raise
        cached.version, cached.value = page.version, value
        return True
    if uncertain:
        raise ResponseLost(cached.key)
    raise TableUnavailable(f"{cached.key}: lost against other VMs")


def _note(cached: CachedRow, row: Row | None) -> None:
    if row is None or row.deleted:
        cached.version, cached.value = 0, None
    else:
        cached.version, cached.value = row.version, json.loads(row.value)
