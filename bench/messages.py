"""
Message sizes
=============

Prints, at three sizes each, the bytes of a state update between daemons and of a
bundle, the time to encode and decode them, and the time to choose a group's home set.
"""

import timeit

from bench.backend import make_bundle_value
from cardamomdrift.bundle.model import check_value, decode_bundle, encode_bundle
from cardamomdrift.membership.rendezvous import home_set
from cardamomdrift.peers.messages import GroupUpdate, StateUpdate, decode_update, encode

SIZES = (3, 30, 300)
REPEATS = 5


def _microseconds_per_call(function, number):
    """Return the shortest time of a call among several repeats."""
    return min(timeit.repeat(function, number=number, repeat=REPEATS)) / number * 1e6


def main():
    """Measure and print both tables."""
    print("| groups | update bytes | encode and decode µs | bundle bytes | decode ms |")
    print("| --- | --- | --- | --- | --- |")
    for size in SIZES:
        groups = {f"group-{i:04}": GroupUpdate(7, 900) for i in range(size)}
        update = StateUpdate("vm-0001", 1234, groups)
        encoded = encode(update)
        codec_time = _microseconds_per_call(
            lambda n=update, d=encoded: (encode(n), decode_update(d)), 200
        )
        body = encode_bundle(check_value(make_bundle_value(size), "bench").unwrap())
        decode_ms = (
            _microseconds_per_call(lambda b=body: decode_bundle(b).unwrap(), 3) / 1000
        )
        print(
            f"| {size} | {len(encoded)} | {codec_time:.0f} | {len(body)} | "
            f"{decode_ms:.2f} |"
        )
    print("\n| daemons | home set of a group, µs |")
    print("| --- | --- |")
    for size in (5, 70, 680):
        names = [f"vm-{i:04}" for i in range(size)]
        home_set_time = _microseconds_per_call(
            lambda n=names: home_set("group-0001", n, 4), 50
        )
        print(f"| {size} | {home_set_time:.0f} |")


if __name__ == "__main__":
    main()
