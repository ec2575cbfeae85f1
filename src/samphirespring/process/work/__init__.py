"""Cost of requests, and the work that each target still has to do."""
