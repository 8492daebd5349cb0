"""Route calls to targets and send them."""
