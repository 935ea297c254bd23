"""Stand in for the platform, executors and workers in tests and demos."""
