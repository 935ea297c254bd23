"""Request reboots of hosts from the platform's pools service."""
