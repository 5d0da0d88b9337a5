"""Upper bounds of call prices, prices of finished calls, and budget reservations."""

import math

from damasksaddle.config import Pool, RouteKind
from damasksaddle.exceptions import BudgetExceeded
from damasksaddle_node.programs.state import Account

TOKENS_PER_KTOKEN = 1000


def max_prompt_tokens(pool: Pool, prompt_bytes: int) -> int:
    """Returns an upper bound of the number of tokens in a prompt."""
    return math.ceil(prompt_bytes / pool.bytes_per_token)


def cost_micros(pool: Pool, prompt_tokens: int, output_tokens: int) -> int:
    """Returns the price of a call in micros (millionths), rounded up."""
    if pool.kind is RouteKind.PLAIN:
        return pool.call_micros
    total = (
        prompt_tokens * pool.prompt_micros_per_ktoken
        + output_tokens * pool.output_micros_per_ktoken
    )
    return math.ceil(total / TOKENS_PER_KTOKEN)


def reserve_budget(account: Account, amount_micros: int) -> None:
    """Reserves an amount in an account; raises `BudgetExceeded`."""
    if amount_micros > account.available_micros:
        raise BudgetExceeded(
            f"the call may cost {amount_micros} micros, "
            f"and {account.available_micros} of {account.budget_micros} are free"
        )
    account.reserved_micros += amount_micros


def release_reservation(account: Account, reserved_micros: int) -> None:
    """Releases a reservation; applying the call's record books the charge."""
    account.reserved_micros -= reserved_micros
