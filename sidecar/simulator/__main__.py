"""Runs the simulator's adapter: `python -m sidecar.simulator`."""

import sys

from sidecar.simulator.adapter import main

sys.exit(main())
