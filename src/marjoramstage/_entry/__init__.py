"""Parts of an instance on the users' platform."""
