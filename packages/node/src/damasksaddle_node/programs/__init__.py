"""Programs: call order, budgets, histories and their durable records."""

from damasksaddle_node.programs.owner import ProgramOwner
from damasksaddle_node.programs.records import CallOutcome, Outcome

__all__ = ["CallOutcome", "Outcome", "ProgramOwner"]
