"""HTTP/1.1 client and server over asyncio and `h11`, for small control calls."""
