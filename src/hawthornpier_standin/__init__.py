"""
Simulates the platform, its workers and the callers for tests and demos.
"""
