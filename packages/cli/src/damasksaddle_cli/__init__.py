"""The operators' command line of damasksaddle."""
