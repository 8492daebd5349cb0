"""Read, validate, store and watch the configuration."""
