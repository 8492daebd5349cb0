"""Move services to new target versions."""
