"""Asks upstreams what happened to calls of unknown outcome."""

import asyncio
from dataclasses import replace

from damasksaddle.config import Route
from damasksaddle.exceptions import Refusal, UpstreamError
from damasksaddle.utils import get_logger, new_id, unix_s
from damasksaddle_node.programs.context import CallDependencies
from damasksaddle_node.programs.partition import Partition
from damasksaddle_node.programs.records import CallFinished, Outcome, Trace
from damasksaddle_node.upstreams import PlainResponse

log = get_logger("programs")

SETTLE_PERIOD_S = 2.0
# Covers retransmissions and queues between a dead VM and an upstream.
LONGEST_IN_FLIGHT_S = 60.0
HTTP_OK = 200
HTTP_NOT_FOUND = 404


def _to_ask(partition: Partition) -> list[CallFinished]:
    unknown = partition.state.unknown
    partition.not_seen &= unknown.keys()
    return [r for call_id, r in unknown.items() if call_id not in partition.not_seen]


class Settler:
    """
    Settles calls of unknown outcome where a route has an `outcome_path`.

    An upstream that knows the call settles it as ok, with what it answers now. One
    that has not seen the call may still receive it, until the longest time that a
    call can be in flight has passed; then it is no longer asked, and the outcome
    stays unknown.
    """

    def __init__(self, services: CallDependencies) -> None:
        self._services = services

    def is_due(self, partition: Partition) -> bool:
        """Tells whether there are calls to ask for and nobody asks yet."""
        return not partition.settling and bool(_to_ask(partition))

    async def run(self, partition: Partition) -> None:
        """Asks regularly until no call is left to ask for."""
        partition.settling = True
        try:
            while not partition.lost and (records := _to_ask(partition)):
                asked = [
                    self._ask(partition, record, partition.not_seen)
                    for record in records
                ]
                await asyncio.gather(*asked)
                await asyncio.sleep(SETTLE_PERIOD_S)
        finally:
            partition.settling = False

    async def _ask(
        self, partition: Partition, record: CallFinished, not_seen: set[str]
    ) -> None:
        program = partition.state.programs.get((record.workspace, record.program_id))
        if program is None:
            return
        document = self._services.fleet.state.document(program.service)
        route = document.routes.get(record.route) if document else None
        if document is None or route is None or not route.outcome_path:
            return
        urls = {u.name: u.url for u in document.pools[route.pool].upstreams}
        if record.upstream not in urls:
            return
        path = route.outcome_path.replace("{call_id}", record.call_id)
        asked_unix_s = unix_s()
        try:
            self._services.guard()
            answer = await self._services.upstreams.outcome(urls[record.upstream], path)
        except (UpstreamError, Refusal) as error:
            log.debug("An outcome was not learnt.", call=record.call_id, reason=error)
            return
        if answer.status == HTTP_OK and record.call_id in partition.state.unknown:
            self._settle(partition, record, answer)
            return
        believed_from_s = record.at_unix_s + longest_in_flight_s(route)
        if answer.status == HTTP_NOT_FOUND and asked_unix_s > believed_from_s:
            not_seen.add(record.call_id)

    def _settle(
        self, partition: Partition, record: CallFinished, answer: PlainResponse
    ) -> None:
        partition.add(
            replace(
                record,
                record_id=new_id("record"),
                outcome=Outcome.OK,
                http_status=answer.status,
                content_type=answer.content_type,
                body=answer.body.decode(errors="replace"),
                charge_micros=record.reserved_micros,
                at_unix_s=unix_s(),
                trace=Trace(reason="the upstream was asked for the outcome"),
            )
        )
        log.info("A call was settled.", call=record.call_id)


def longest_in_flight_s(route: Route) -> float:
    """Returns how long after its sender's death a call may still arrive."""
    return max(route.timeout_s, LONGEST_IN_FLIGHT_S)
