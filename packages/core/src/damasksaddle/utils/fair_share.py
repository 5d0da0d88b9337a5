"""Weighted fair queueing of workspaces."""

from collections import defaultdict
from dataclasses import dataclass, field


@dataclass(slots=True)
class FairShare:
    """
    The virtual times of workspaces.

    The virtual time of a workspace is the work served, in any one unit, divided by its
    weight. An idle workspace does not accumulate credit: `system_virtual_time` is the
    virtual time of the workspace that was served last.
    """

    virtual_times: dict[str, float] = field(default_factory=lambda: defaultdict(float))
    system_virtual_time: float = 0.0

    def virtual_time(self, workspace: str) -> float:
        """Returns the virtual time of a workspace."""
        return self.virtual_times[workspace]

    def activate(self, workspace: str) -> None:
        """Removes the credit of a workspace that had no queued work."""
        self.virtual_times[workspace] = max(
            self.virtual_times[workspace], self.system_virtual_time
        )

    def charge(self, workspace: str, work: float, weight: float) -> None:
        """Adds work to a workspace's virtual time; negative values are a refund."""
        self.virtual_times[workspace] += work / weight
