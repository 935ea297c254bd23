"""The operators' interface: HTTP API, command line, status and audit trail."""
