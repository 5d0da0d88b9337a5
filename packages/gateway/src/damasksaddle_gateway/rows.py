"""Updates rows by compare-and-set with retries."""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from damasksaddle.exceptions import ResponseLost, TableUnavailable, WriteConflict
from damasksaddle.platform import Page, Put, Row
from damasksaddle.utils import boottime_s, new_id
from damasksaddle_gateway.store import StoreCircuitBreaker

# Attempts before an update that keeps conflicting with other VMs is given up.
MAX_ATTEMPTS = 6
# No attempt starts after this time, because a request usually waits for the update. In
# a slow store, one write alone may take as long.
MAX_DURATION_S = 0.8
MAX_DURATION_WRITES = 3.0
# Number of writes of one update that may be without an answer.
MAX_UNANSWERED = 2


@dataclass(slots=True)
class CachedRow:
    """A row as last seen by this VM; version 0 means that the row does not exist."""

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

    `change` receives the value, or None if there is no row, and returns the new value,
    or None to leave the row unchanged. With `reread`, it may leave the row unchanged
    only after the row was just read. Returns whether a value was written. Each value
    contains the id of the operation, so that a write whose response was lost is
    recognized when it is retried. Raises `TableUnavailable` if the change was not
    applied, and `ResponseLost` if that is unknown.
    """
    operation = new_id("op")
    put: Put | None = None
    unanswered: list[asyncio.Task[Page]] = []
    outcome_unknown = False
    started_s = boottime_s()
    for attempt in range(MAX_ATTEMPTS):
        max_duration_s = max(
            MAX_DURATION_S, MAX_DURATION_WRITES * table.latency.write_s()
        )
        if attempt and boottime_s() - started_s > max_duration_s:
            break
        if put is None:
            value = change(cached.value)
            if value is None:
                if not reread:
                    return False
                _refresh(cached, await table.row(cached.key))
                reread = False
                continue
            value = {**value, "operation": operation}
            put = Put(cached.key, json.dumps(value), cached.version)
        try:
            page = await _commit_or_wait(table, put, unanswered)
        except WriteConflict as error:
            rows = [row for row in error.rows if row.key == cached.key]
            _refresh(cached, rows[0] if rows else None)
            reread = False
            if cached.value and cached.value.get("operation") == operation:
                return True
            if outcome_unknown:
                # The write without a response may have been applied and then
                # overwritten.
                raise ResponseLost(cached.key) from error
            put = None
            continue
        except ResponseLost:
            # Only the same value can be repeated: `change` may return another one now,
            # and this one may have been written.
            outcome_unknown = True
            continue
        except TableUnavailable as error:
            if not outcome_unknown:
                raise
            answer = await table.late_answer(unanswered)
            if answer is None:
                raise ResponseLost(cached.key) from error
            page = answer
        cached.version, cached.value = page.version, json.loads(put.value or "{}")
        return True
    if outcome_unknown:
        raise ResponseLost(cached.key)
    raise TableUnavailable(f"{cached.key}: too many conflicting writes by other VMs")


async def _commit_or_wait(
    table: StoreCircuitBreaker, put: Put, unanswered: list[asyncio.Task[Page]]
) -> Page:
    """Writes, or waits for the earlier writes: more would make a slow store slower."""
    if len(unanswered) < MAX_UNANSWERED:
        return await table.commit([put], unanswered)
    page = await table.late_answer(unanswered)
    if page is None:
        raise ResponseLost(put.key)
    return page


def _refresh(cached: CachedRow, row: Row | None) -> None:
    if row is None or row.deleted:
        cached.version, cached.value = 0, None
    else:
        cached.version, cached.value = row.version, json.loads(row.value)
