"""Start the daemon as the deploy file asks."""

from azurelanding.platform.main import main

if __name__ == "__main__":
    main()
