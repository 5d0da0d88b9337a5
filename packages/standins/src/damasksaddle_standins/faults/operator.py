"""The operator, who writes configurations, gives keys and withdraws them."""

import json
from dataclasses import dataclass, field

from damasksaddle.platform import Put, row_key
from damasksaddle.utils import boottime_s
from damasksaddle_standins.faults.invariants import InvariantChecker
from damasksaddle_standins.faults.traffic import (
    REQUEST_KINDS,
    TOKENS_PER_EVENT,
    RequestKind,
)
from damasksaddle_standins.faults.upstreams import SLOTS
from damasksaddle_standins.versioned_table import VersionedRows

MAX_CONNECTIONS = 100


@dataclass(slots=True)
class Operator:
    """Holds the current configuration; `rates` are (requests per second, burst)."""

    rows: VersionedRows
    checker: InvariantChecker
    rates: dict[str, tuple[float, float]]
    keys: dict[str, str] = field(default_factory=dict)
    # The key that was withdrawn last, by workspace.
    withdrawn_keys: dict[str, str] = field(default_factory=dict)
    version: int = 0
    kinds: tuple[RequestKind, ...] = REQUEST_KINDS
    _extra_keys: dict[str, list[str]] = field(default_factory=dict)
    _added_routes: list[dict[str, object]] = field(default_factory=list)

    def initialize(self) -> None:
        """Creates a key for each workspace and writes the first configuration."""
        self.keys.update({name: f"key-{name}-0" for name in self.rates})
        self.checker.initial_keys = set(self.keys.values())
        self.checker.rates = self.rates
        self.write_configuration()

    def write_configuration(self, extra_routes: int = 0) -> None:
        """Writes the next version, with `extra_routes` routes that no caller uses."""
        self.version += 3
        unused_routes = [
            {
                **REQUEST_KINDS[0].make_route(),
                "Prefix": f"/spare-{self.version}-{number}/",
                "Name": "s",
            }
            for number in range(extra_routes)
        ]
        services = [
            {
                "Name": "llm",
                "MaxConns": MAX_CONNECTIONS,
                "Engine": {"Slots": SLOTS, "ChunkTokens": TOKENS_PER_EVENT},
            },
            {"Name": "desk", "MaxConns": MAX_CONNECTIONS},
        ]
        tenants = [
            {
                "Name": name,
                "ApiKeys": [self.keys[name], *self._extra_keys.get(name, [])],
                "RatePerS": rate_per_s,
                "Burst": burst,
            }
            for name, (rate_per_s, burst) in self.rates.items()
        ]
        config = {
            "Version": self.version,
            "Routes": [
                *(kind.make_route() for kind in self.kinds),
                *self._added_routes,
                *unused_routes,
            ],
            "Services": services,
            "Tenants": tenants,
        }
        self.rows.apply([Put(row_key("op", "", "config"), json.dumps(config))])

    def add_route(self, route: dict[str, object]) -> None:
        """Adds a route for good and writes the next version."""
        self._added_routes.append(route)
        self.write_configuration()

    def evacuate(self, failure_domain: str) -> None:
        """Asks that upstreams of a failure domain get no more requests."""
        self.rows.apply([Put(row_key("op", "", f"evacuate/{failure_domain}"), "")])
        self.checker.evacuated_s[failure_domain] = boottime_s()

    def end_evacuation(self, failure_domain: str) -> None:
        """Allows requests to upstreams of a failure domain again."""
        del self.checker.evacuated_s[failure_domain]
        self.rows.apply([Put(row_key("op", "", f"evacuate/{failure_domain}"), None)])

    def give_key(self, workspace: str) -> str:
        """Adds a key; callers must not use it until all VMs have applied it."""
        key = f"key-{workspace}-{self.version}"
        self._extra_keys[workspace] = [key]
        self.write_configuration()
        return key

    def replace_key(self, workspace: str, key: str) -> None:
        """Makes `key` the key of a workspace and withdraws the previous one."""
        old_key = self.keys[workspace]
        self.keys[workspace] = key
        self._extra_keys.pop(workspace, None)
        self.write_configuration()
        self.checker.key_withdrawn_s[old_key] = boottime_s()
        self.withdrawn_keys[workspace] = old_key
