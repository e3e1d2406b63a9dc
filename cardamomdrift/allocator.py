"""
Allocator
=========

Settings of the C library's allocator for the process of a daemon.
"""

import ctypes

# Options of `mallopt`
M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
# Blocks from this size on are mapped on their own, so that freeing them returns their
# memory.  The GNU library's own threshold grows with the blocks that are freed, up to
# 32 MiB; its heap then keeps the memory of rows and messages in gaps.  The 256 KiB that
# asyncio allocates for each read stay below, since mapping takes longer.
MAPPED_BLOCK_BYTES = 320 * 1024
# Free bytes kept at the end of the heap: twice the threshold, as in the GNU library, so
# that a read does not grow and shrink the heap.
KEPT_BYTES = 2 * MAPPED_BLOCK_BYTES


def return_large_blocks():
    """Let freed large blocks return to the system; return whether that is possible.

    Other C libraries have no such settings, or none that have an effect.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (AttributeError, OSError):
        return False
    return bool(
        mallopt(M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES)
        and mallopt(M_TRIM_THRESHOLD, KEPT_BYTES)
    )
