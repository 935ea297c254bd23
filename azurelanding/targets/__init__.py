"""Send requests to executors over HTTP."""
