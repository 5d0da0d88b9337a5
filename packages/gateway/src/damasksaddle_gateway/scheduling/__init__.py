"""The scheduler of a service: decides which upstream gets which request, and when."""
