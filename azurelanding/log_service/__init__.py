"""Read from and append to the log service of the platform."""
