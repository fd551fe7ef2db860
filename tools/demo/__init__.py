"""
The demo: the whole path over loopback, with a check of the guarantees.
"""
