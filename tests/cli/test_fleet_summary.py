"""The summary of a large fleet."""

from damasksaddle_cli.commands.fleet import summarize_vms


def test_vms_are_counted_by_failure_domain() -> None:
    """Guards against hundreds of rows where an operator needs three."""
    vms = [{"failure_domain": "ba"[n % 2], "leaving": n < 3} for n in range(195)]
    assert summarize_vms(vms) == [
        {"failure_domain": "a", "vms": 97, "leaving": 1},
        {"failure_domain": "b", "vms": 98, "leaving": 2},
    ]
