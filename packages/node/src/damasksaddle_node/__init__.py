"""The node daemon of damasksaddle."""
