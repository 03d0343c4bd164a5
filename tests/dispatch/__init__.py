"""Tests of `mulberrypaddle.dispatch`."""
