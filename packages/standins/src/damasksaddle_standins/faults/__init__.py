"""
A soak test that injects faults into gateway processes and checks invariants.

`python -m damasksaddle_standins faults --seed N --minutes M` starts gateways as
processes, simulates their store, upstreams and callers, and injects faults that are
drawn from a seed: signals to processes, and failures of connections and responses in
proxies and in the store. The invariants are checked from what callers and upstreams
observed.
"""

from damasksaddle_standins.faults.run import FaultReport, run_fault_injection
from damasksaddle_standins.faults.stops import LOADS, StopReport, run_stops

__all__ = ["FaultReport", "LOADS", "run_fault_injection", "StopReport", "run_stops"]
