"""Reads the operator's limit on requests that are sent to two runners."""

from __future__ import annotations

import os
import re
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from mulberrypaddle.core.errors import ErrorKind, Problem
from mulberrypaddle.core.value_checks import shorten
from mulberrypaddle.dispatch.hedging import MAX_HEDGE_RATIO

if TYPE_CHECKING:
    from collections.abc import Mapping

# Environment variable with the share of a service's requests that may be sent
# to a second runner.
RATIO_ENVIRONMENT_VARIABLE = "MULBERRYPADDLE_HEDGE_RATIO"

# `float` accepts more, such as "nan" and digits outside ASCII.
_NUMBER = re.compile(r"([0-9]{1,18}(\.[0-9]{0,18})?|\.[0-9]{1,18})")


def read_hedge_ratio(
    environment: Mapping[str, str] = os.environ,
) -> Result[float, Problem]:
    """Returns the ratio, 0 if it is not set, or INVALID_CONFIG."""
    text = environment.get(RATIO_ENVIRONMENT_VARIABLE)
    if text is None:
        return Success(0.0)
    if _NUMBER.fullmatch(text) and float(text) <= MAX_HEDGE_RATIO:
        return Success(float(text))
    return Failure(
        Problem(
            ErrorKind.INVALID_CONFIG,
            f"{RATIO_ENVIRONMENT_VARIABLE}: got {shorten(text)}, expected a "
            f"number from 0 to {MAX_HEDGE_RATIO}",
        )
    )
