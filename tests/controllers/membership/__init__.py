"""Tests of `mulberrypaddle.controllers.membership`."""
