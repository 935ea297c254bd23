"""Start the daemon as the deploy file asks."""

from azurelanding import process_signals

if __name__ == "__main__":
    # The imports of the daemon take longer than a signal may be left unhandled.
    process_signals.hold()

    from azurelanding.platform.main import main

    main()
