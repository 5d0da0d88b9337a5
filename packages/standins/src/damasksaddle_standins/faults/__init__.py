"""
A soak that breaks real gateway processes from outside and checks what they promise.

`python -m damasksaddle_standins faults --seed N --minutes M` starts gateways as
processes, plays their store, upstreams and callers, and injects faults that a seed
draws: signals, and what proxies and the store do to connections and answers. Promises
are checked from what callers and upstreams saw.
"""

from damasksaddle_standins.faults.run import FaultReport, run_fault_injection

__all__ = ["FaultReport", "run_fault_injection"]
