"""What lives for one connection: caller HTTP, links between processes, upstream HTTP, codecs."""
