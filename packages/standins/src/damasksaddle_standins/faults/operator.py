"""The operator: writes configurations, gives keys and withdraws them."""

import json
from dataclasses import dataclass, field

from damasksaddle.platform import Put, row_key
from damasksaddle.utils import boottime_s
from damasksaddle_standins.faults.promises import Promises
from damasksaddle_standins.faults.traffic import KINDS, TOKENS_PER_EVENT
from damasksaddle_standins.faults.upstreams import SLOTS
from damasksaddle_standins.versioned import VersionedRows

MAX_CONNECTIONS = 100


@dataclass(slots=True)
class Operator:
    """The newest configuration; `rates` are requests per second and bursts."""

    rows: VersionedRows
    promises: Promises
    rates: dict[str, tuple[float, float]]
    keys: dict[str, str] = field(default_factory=dict)
    # The key of a workspace that was withdrawn last.
    withdrawn: dict[str, str] = field(default_factory=dict)
    version: int = 0
    _extra_keys: dict[str, list[str]] = field(default_factory=dict)

    def begin(self) -> None:
        """Writes the first configuration."""
        self.keys.update({name: f"key-{name}-0" for name in self.rates})
        self.promises.first_keys = set(self.keys.values())
        self.promises.rates = self.rates
        self.write()

    def write(self, routes: int = 0) -> None:
        """Writes the next version, with some routes that nobody uses."""
        self.version += 3
        spare = [
            {**KINDS[0].route(), "Prefix": f"/spare-{self.version}-{n}/", "Name": "s"}
            for n in range(routes)
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
            "Routes": [*(kind.route() for kind in KINDS), *spare],
            "Services": services,
            "Tenants": tenants,
        }
        self.rows.apply([Put(row_key("op", "", "config"), json.dumps(config))])

    def give_key(self, workspace: str) -> str:
        """Adds a key, which callers should use only once all VMs know it."""
        key = f"key-{workspace}-{self.version}"
        self._extra_keys[workspace] = [key]
        self.write()
        return key

    def replace_key(self, workspace: str, key: str) -> None:
        """Withdraws the old key of a workspace."""
        old = self.keys[workspace]
        self.keys[workspace] = key
        self._extra_keys.pop(workspace, None)
        self.write()
        self.promises.withdrawn_s[old] = boottime_s()
        self.withdrawn[workspace] = old
