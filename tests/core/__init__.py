"""Tests of `mulberrypaddle.core`."""
