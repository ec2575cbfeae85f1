"""Quotas: one limit of a workspace for all routes and all fronts together."""
