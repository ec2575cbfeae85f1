"""Rendezvous hashing: a key prefers the candidates with the lowest hash of the pair."""

import xxhash


def hash_pair(first: str, second: str) -> int:
    """Return a hash that depends only on the two strings and their order.

    Args:
        first: The first string.
        second: The second string.
    """
    return xxhash.xxh3_64_intdigest(f"{first}\0{second}".encode())
