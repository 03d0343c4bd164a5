"""Tests of `mulberrypaddle.serving`."""
