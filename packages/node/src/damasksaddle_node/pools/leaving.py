"""Detection of leaving upstreams from the platform's VM list."""

from urllib.parse import urlsplit

from damasksaddle.config import Upstream
from damasksaddle.platform import ListedVm, VmList


class LeavingUpstreams:
    """
    The upstreams that are leaving according to the last VM list.

    An entry identifies an upstream by its name or by its address, with or without a
    port. An upstream that used to be listed and no longer is has left.
    """

    def __init__(self, vm_list: VmList) -> None:
        self._vm_list = vm_list
        self._leaving: set[str] = set()
        self._listed: set[str] = set()

    async def read(self) -> None:
        """Reads the VM list; raises `PlatformError`."""
        vms = await self._vm_list.read()
        listed = {label for vm in vms for label in _labels(vm)}
        remaining = {label for vm in vms if not vm.leaving for label in _labels(vm)}
        # An empty list is an error of the platform rather than the end of all VMs.
        if vms:
            self._listed |= listed
            self._leaving = self._listed - remaining

    def includes(self, upstream: Upstream) -> bool:
        """Returns whether an upstream is leaving or has left."""
        address = urlsplit(upstream.url)
        labels = {upstream.name, address.netloc, address.hostname or ""}
        return bool(labels & self._leaving)


def _labels(vm: ListedVm) -> set[str]:
    return {vm.name, vm.address}
