"""Run ``python -m azurelanding``."""

from azurelanding.main import main

main()
