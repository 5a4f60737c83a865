"""Stand-ins of the platform, targets and clients for the review's scripts.

Standard library only; the nodes are started with the deploy file's command.
"""
