"""Resolves calls of unknown outcome by querying their upstreams."""

import asyncio
from dataclasses import replace

from damasksaddle.config import Route
from damasksaddle.exceptions import Refusal, UpstreamError
from damasksaddle.utils import get_logger, new_id, unix_s
from damasksaddle_node.programs.context import CallDependencies
from damasksaddle_node.programs.partition import Partition
from damasksaddle_node.programs.records import (
    CallFinished,
    Outcome,
    Trace,
    encode_body,
)
from damasksaddle_node.upstreams import PlainResponse

log = get_logger("programs")

QUERY_PERIOD_S = 2.0
# Covers retransmissions and queueing between a failed VM and an upstream.
MAX_IN_FLIGHT_S = 60.0
HTTP_OK = 200
HTTP_NOT_FOUND = 404


def _records_to_query(partition: Partition) -> list[CallFinished]:
    unknown = partition.state.unknown_outcomes
    partition.calls_not_seen &= unknown.keys()
    return [
        r for call_id, r in unknown.items() if call_id not in partition.calls_not_seen
    ]


class OutcomeResolver:
    """
    Resolves calls of unknown outcome on routes with an `outcome_path`.

    If the upstream knows the call, the outcome becomes ok, with the upstream's present
    answer as the body. An upstream that has not seen the call may still receive it
    until the longest time in flight has passed. After that time it is no longer
    queried, and the outcome stays unknown.
    """

    def __init__(self, dependencies: CallDependencies) -> None:
        self._dependencies = dependencies

    def has_calls_to_query(self, partition: Partition) -> bool:
        """Returns whether there are calls to query and no task queries them yet."""
        return not partition.resolving_outcomes and bool(_records_to_query(partition))

    async def run(self, partition: Partition) -> None:
        """Queries upstreams periodically until no call is left to query."""
        partition.resolving_outcomes = True
        try:
            while not partition.lost and (records := _records_to_query(partition)):
                queries = [
                    self._query_outcome(partition, record, partition.calls_not_seen)
                    for record in records
                ]
                await asyncio.gather(*queries)
                await asyncio.sleep(QUERY_PERIOD_S)
        finally:
            partition.resolving_outcomes = False

    async def _query_outcome(
        self, partition: Partition, record: CallFinished, calls_not_seen: set[str]
    ) -> None:
        program = partition.state.programs.get((record.workspace, record.program_id))
        if program is None:
            return
        document = self._dependencies.fleet.state.document(program.service)
        route = document.routes.get(record.route) if document else None
        if document is None or route is None or not route.outcome_path:
            return
        urls = {u.name: u.url for u in document.pools[route.pool].upstreams}
        if record.upstream not in urls:
            return
        path = route.outcome_path.replace("{call_id}", record.call_id)
        queried_unix_s = unix_s()
        try:
            self._dependencies.check_lease_and_freshness()
            answer = await self._dependencies.upstreams.outcome(
                urls[record.upstream], path
            )
        except (UpstreamError, Refusal) as error:
            log.debug(
                "Querying the outcome of a call failed.",
                call=record.call_id,
                reason=error,
            )
            return
        if (
            answer.status == HTTP_OK
            and record.call_id in partition.state.unknown_outcomes
        ):
            self._resolve(partition, record, answer)
            return
        latest_arrival_unix_s = record.at_unix_s + max_in_flight_s(route)
        if answer.status == HTTP_NOT_FOUND and queried_unix_s > latest_arrival_unix_s:
            calls_not_seen.add(record.call_id)

    def _resolve(
        self, partition: Partition, record: CallFinished, answer: PlainResponse
    ) -> None:
        body, binary = encode_body(answer.body)
        partition.add(
            replace(
                record,
                record_id=new_id("record"),
                outcome=Outcome.OK,
                http_status=answer.status,
                content_type=answer.content_type,
                body=body,
                binary=binary,
                charge_micros=record.reserved_micros,
                at_unix_s=unix_s(),
                trace=Trace(reason="the upstream was asked for the outcome"),
            )
        )
        log.info("The unknown outcome of a call was resolved.", call=record.call_id)


def max_in_flight_s(route: Route) -> float:
    """Returns how long after its sender failed a call may still reach its upstream."""
    return max(route.timeout_s, MAX_IN_FLIGHT_S)
