"""
Entry point
===========

Runs the daemon as ``python -m cardamomdrift.platform``.  The garbage collector is off
during the imports, because they leave no garbage.  Later collections skip the imported
objects, which are frozen.
"""

import gc
import sys

gc.disable()

from cardamomdrift.platform.main import main  # noqa: E402

gc.enable()
gc.freeze()

sys.exit(main())
