"""Programs: their order, budget, history and records."""

from damasksaddle_node.programs.owner import ProgramOwner
from damasksaddle_node.programs.records import CallOutcome, Outcome

__all__ = ["CallOutcome", "Outcome", "ProgramOwner"]
