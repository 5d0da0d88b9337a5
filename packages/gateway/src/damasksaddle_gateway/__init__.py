"""The gateway: forwards requests of agent programs under a shared configuration."""
