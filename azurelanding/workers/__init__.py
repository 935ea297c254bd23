"""Exchange reports and orders with the workers that run tasks."""
