"""Stand-in services, load generators and experiments; not used in production."""
