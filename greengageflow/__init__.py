"""A fleet of routers that shares endpoints fairly among client accounts."""
