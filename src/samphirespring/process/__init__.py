"""What lives for the process: settings, timers, tables, evidence, ledger, logs, programs."""
