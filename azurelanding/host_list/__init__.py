"""Follow the platform's list of hosts."""
