"""Admission: who is served next, and by which runner."""

from __future__ import annotations

from mulberrypaddle.controllers.admission.controller import (
    Admission,
    AdmissionReply,
)

__all__ = ["Admission", "AdmissionReply"]
