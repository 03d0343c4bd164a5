"""Adapter between the users' platform and the serving system.

All header names, object kinds, document fields and settings fields of the
platform are defined in this package and nowhere else. It only translates and
makes no routing decisions. The entry point is `program.run`, which assembles
a router from these parts.
"""

from __future__ import annotations
