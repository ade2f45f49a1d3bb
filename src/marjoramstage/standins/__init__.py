"""Small stand-ins for the platform, a model engine and a plain service."""
