"""Tests of `mulberrypaddle.observe`."""
