"""Tests of the links between routers."""
