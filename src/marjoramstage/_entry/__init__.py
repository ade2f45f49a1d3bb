"""Internals of ``marjoramstage entry``: an instance on the users' platform."""
