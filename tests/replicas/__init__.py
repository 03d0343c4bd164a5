"""Tests of `mulberrypaddle.replicas`."""
