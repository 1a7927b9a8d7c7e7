"""Starts the rig's command line."""

from __future__ import annotations

import sys

from scale.cli import main

if __name__ == "__main__":
    sys.exit(main())
