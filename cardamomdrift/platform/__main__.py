"""Starts the daemon; imports leave no garbage, so none is looked for meanwhile."""

import gc
import sys

gc.disable()

from cardamomdrift.platform.main import main  # noqa: E402

gc.enable()
gc.freeze()

sys.exit(main())
