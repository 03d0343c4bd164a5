"""Small stand-ins for the systems outside, for tests and the demo."""
