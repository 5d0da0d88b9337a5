"""Validation of the bodies of chat completion requests."""

import pytest

from damasksaddle.exceptions import BadRequest
from damasksaddle_node.http.parsing import ChatBody, validate_model
from damasksaddle_standins.sample_service import chat_body


@pytest.mark.parametrize("name", ["max_tokens", "max_completion_tokens"])
def test_limit_of_zero_tokens_is_refused(name):
    """Guards against a limit of 0 that an owner would take as not given."""
    fields = {"max_tokens": 3, "max_completion_tokens": 3, name: 0}
    with pytest.raises(BadRequest, match=f"^{name}: "):
        validate_model(ChatBody, chat_body(**fields))
