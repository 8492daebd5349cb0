"""Drive moves and weigh their evidence."""
