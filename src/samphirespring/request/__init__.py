"""State and decisions of one request: deadline, attempts, retries, hedges, claim and selection."""
