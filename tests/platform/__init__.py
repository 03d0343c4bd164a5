"""Tests of `mulberrypaddle.platform`."""
