"""HTTP/1.1 over asyncio, by the `h11` library, for small control calls."""
