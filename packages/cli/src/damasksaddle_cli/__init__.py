"""The command line for operators of damasksaddle."""
