"""Runs the adapter for the simulator: `python -m sidecar.simulator`."""

import sys

from sidecar.simulator.adapter import main

sys.exit(main())
