"""
cardamomdrift
=============

A database proxy with session consistency.  Public names are imported on first use, so
that a daemon loads only the modules of the protocol that it serves.
"""

from importlib import import_module

__version__ = "0.1.0"

_PUBLIC = {
    "Bundle": "cardamomdrift.bundle.model",
    "CardamomdriftError": "cardamomdrift.errors",
    "Daemon": "cardamomdrift.daemon",
    "NotRun": "cardamomdrift.errors",
    "OutcomeUnknown": "cardamomdrift.errors",
    "Position": "cardamomdrift.position",
    "Settings": "cardamomdrift.settings",
    "check_value": "cardamomdrift.bundle.model",
    "load_settings": "cardamomdrift.settings",
}

__all__ = sorted(_PUBLIC)


def __getattr__(name):
    if name not in _PUBLIC:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(_PUBLIC[name]), name)
