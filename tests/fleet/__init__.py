"""Tests of `mulberrypaddle.fleet`."""
