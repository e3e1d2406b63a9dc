"""
cardamomdrift
=============

A database proxy with session consistency for the MySQL protocol.
"""

from cardamomdrift.bundle.model import Bundle, check_value
from cardamomdrift.daemon import Daemon
from cardamomdrift.errors import CardamomdriftError, NotRun, OutcomeUnknown
from cardamomdrift.position import Position
from cardamomdrift.settings import Settings, load_settings

__version__ = "0.1.0"

__all__ = [
    "Bundle",
    "CardamomdriftError",
    "Daemon",
    "NotRun",
    "OutcomeUnknown",
    "Position",
    "Settings",
    "check_value",
    "load_settings",
]
