"""Translate between azurelanding and the platform that it runs on.

Each module talks to one peer and converts its messages to and from azurelanding's own
types. No decisions are made here, and only this package uses the platform's names.
"""
