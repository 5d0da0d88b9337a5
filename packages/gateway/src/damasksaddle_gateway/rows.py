"""Changes a row by compare-and-set until it holds."""

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from damasksaddle.exceptions import AnswerLost, RowTaken, TableUnavailable
from damasksaddle.platform import Put, Row
from damasksaddle.utils import elapsed_s, new_id
from damasksaddle_gateway.store import StoreCircuitBreaker

# Tries before a change that keeps losing against other VMs is given up.
MAX_ATTEMPTS = 6
# A change is not tried again after this time; a request waits for most of them.
MAX_DURATION_S = 0.8


@dataclass(slots=True)
class CachedRow:
    """A row as this VM last saw it; version 0 means that it does not exist."""

    key: str
    version: int = 0
    value: dict[str, Any] | None = None


RowUpdate = Callable[[dict[str, Any] | None], dict[str, Any] | None]


async def update_row(
    table: StoreCircuitBreaker,
    cached: CachedRow,
    change: RowUpdate,
    reread: bool = False,
) -> bool:
    """
    Applies a change to the current value of a row.

    `change` gets the value, or None if there is no row, and returns the new one, or
    None to leave the row as it is; with `reread` it may say so only of a value that
    was just read. Returns whether a value was written. Each value carries the id of
    the change, so that a change whose answer was lost is recognized when it is
    sent again. Raises `TableUnavailable` if the change did not take effect, and
    `AnswerLost` if that is not known.
    """
    operation = new_id("op")
    outcome_unknown = False
    started_s = elapsed_s()
    for attempt in range(MAX_ATTEMPTS):
        if attempt and elapsed_s() - started_s > MAX_DURATION_S:
            break
        value = change(cached.value)
        if value is None:
            if outcome_unknown:
                raise AnswerLost(cached.key)
            if not reread:
                return False
            _refresh(cached, await table.row(cached.key))
            reread = False
            continue
        value = {**value, "operation": operation}
        put = Put(cached.key, json.dumps(value), cached.version)
        try:
            page = await table.commit([put], attempt=attempt)
        except RowTaken as error:
            rows = [row for row in error.rows if row.key == cached.key]
            _refresh(cached, rows[0] if rows else None)
            reread = False
            if cached.value and cached.value.get("operation") == operation:
                return True
            if outcome_unknown:
                # The lost write may have been applied and then changed by others.
                raise AnswerLost(cached.key) from error
            continue
        except AnswerLost:
            outcome_unknown = True
            continue
        except TableUnavailable as error:
            if outcome_unknown:
                raise AnswerLost(cached.key) from error
            raise
        cached.version, cached.value = page.version, value
        return True
    if outcome_unknown:
        raise AnswerLost(cached.key)
    raise TableUnavailable(f"{cached.key}: lost against other VMs")


def _refresh(cached: CachedRow, row: Row | None) -> None:
    if row is None or row.deleted:
        cached.version, cached.value = 0, None
    else:
        cached.version, cached.value = row.version, json.loads(row.value)
