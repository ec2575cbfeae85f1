"""Action ledger: claims in a replicated log that make an action run at most once."""
