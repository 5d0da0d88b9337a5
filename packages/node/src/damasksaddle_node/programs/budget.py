"""What a call may cost at most, and what it did cost."""

import math

from damasksaddle.config import Pool, RouteKind
from damasksaddle.exceptions import BudgetExceeded
from damasksaddle_node.programs.state import Account

KILO = 1000


def prompt_tokens_at_most(pool: Pool, prompt_bytes: int) -> int:
    """Returns an upper bound of the tokens in a prompt."""
    return math.ceil(prompt_bytes / pool.bytes_per_token)


def cost_micros(pool: Pool, prompt_tokens: int, output_tokens: int) -> int:
    """Returns the price of a call in millionths, rounded up."""
    if pool.kind is RouteKind.PLAIN:
        return pool.call_micros
    total = (
        prompt_tokens * pool.prompt_micros_per_ktoken
        + output_tokens * pool.output_micros_per_ktoken
    )
    return math.ceil(total / KILO)


def reserve(account: Account, amount_micros: int) -> None:
    """Sets an amount aside, or raises `BudgetExceeded`."""
    if amount_micros > account.free_micros:
        raise BudgetExceeded(
            f"the call may cost {amount_micros} micros, "
            f"and {account.free_micros} of {account.budget_micros} are free"
        )
    account.reserved_micros += amount_micros


def settle(account: Account, reserved_micros: int) -> None:
    """Gives back a reservation; the charge is booked by the call's record."""
    account.reserved_micros -= reserved_micros
