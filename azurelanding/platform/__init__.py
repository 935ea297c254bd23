"""Adapt the product to the users' platform: names, formats and calls.

Each module speaks with one peer and turns its messages into the product's types.
Nothing here decides, and nothing outside knows the platform's names.
"""
