"""Stand-ins for the platform, a model engine and a plain HTTP service.

They speak the same HTTP interfaces as the real ones and can be told to fail in
certain ways, for tests and for trying the system out on one machine.
"""
