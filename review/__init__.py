"""Cases of the review: scripts that start the daemons against stand-ins."""
