"""A proxy fleet that stands between callers and backend servers with gray failures.

The packages follow the lifetimes of the objects that they hold: `request` for one request,
`connection` for one connection, `version` for one version of the document, and `process` for the
whole process.
"""

__version__ = "0.1.0"
