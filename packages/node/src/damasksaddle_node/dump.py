"""State dump of a node for operators. It contains no keys and no bodies."""

from __future__ import annotations

import asyncio
from dataclasses import asdict
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from damasksaddle_node.node import Node


SECRET_SETTINGS = frozenset({"fleet_secret", "operator_token"})


def dump_state(node: Node) -> dict[str, Any]:
    """Returns a snapshot of the node's state that can be serialized to JSON."""
    state = node.fleet.state
    now_s = asyncio.get_running_loop().time()
    return {
        "vm": node.vm_id,
        "failure_domain": node.settings.failure_domain,
        "addresses": {
            "callers": node.http_url,
            "operators": node.admin_url,
            "peers": node.server.address,
        },
        "settings": _public_settings(node),
        "fleet": {
            "cursor": state.cursor,
            "epoch": state.epoch,
            "members": sorted(state.members),
            "documents": {name: v.version for name, v in state.documents.items()},
            "keys": len(state.keys),
        },
        "lease": {
            "left_s": round(node.lease.valid_until_s - now_s, 3),
            "taken": node.lease.revoked,
        },
        "freshness_age_s": round(node.freshness.age_s(), 3),
        "calls": {
            "entered": node.entry.open_calls,
            "owned": [
                {
                    "call_id": run.call.call_id,
                    "workspace": run.call.workspace,
                    "program_id": run.call.program_id,
                    "route": f"{run.call.service}/{run.call.route}",
                }
                for run in node.owner.runs
            ],
        },
        "partitions": [
            {
                "partition": partition.number,
                "opened_at": partition.opened_at,
                "programs": len(partition.state.programs),
                "running": partition.running_calls,
                "not_durable": len(partition.pending_records),
                "draining": partition.draining,
            }
            for partition in node.owner.partition_manager.partitions.values()
        ],
        "streams": [
            {
                "stream": stream.number,
                "position": stream.position,
                "rows_written": stream.rows_written,
            }
            for stream in node.committers.streams
            if stream.position is not None
        ],
        "pools": {
            name: {
                "queued": scheduler.queued,
                "upstreams": {
                    view.upstream.name: {
                        "running": len(view.running),
                        "leaving": view.leaving,
                        "failures": view.failures,
                        "first_token_ms": round(view.first_token_ms, 1),
                    }
                    for view in scheduler.view.upstreams.values()
                },
            }
            for name, scheduler in node.schedulers.schedulers.items()
        },
    }


def _public_settings(node: Node) -> dict[str, Any]:
    values = asdict(node.settings)
    return {
        name: value for name, value in values.items() if name not in SECRET_SETTINGS
    }
