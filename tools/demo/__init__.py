"""
A demo of the scheduler over loopback that checks the guarantees at its end.
"""
