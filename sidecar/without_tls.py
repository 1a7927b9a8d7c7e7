"""Keeps the `ssl` module out of the process: all traffic is plain TCP, and OpenSSL would take 4 MB of memory.

asyncio supports interpreters that are built without `ssl`.  This module has to be imported before asyncio.
"""

from __future__ import annotations

import sys

sys.modules.setdefault("ssl", None)  # type: ignore[arg-type]  # None makes an import raise ImportError
