"""Links between routers."""
