"""
Stand-ins for the platform, the workers and the callers, for development.
"""
