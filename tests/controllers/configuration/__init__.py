"""Tests of `mulberrypaddle.controllers.configuration`."""
