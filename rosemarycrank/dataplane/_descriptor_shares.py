"""Shares of the descriptors that the connections to each port may take.

What is left is for the connections that the node itself opens: to its target,
to other nodes and to the store.
"""

#: Number of descriptors for files, the event loop and listening sockets.
OWN_COUNT = 20

#: Share of the others that connections of clients may take, those that other
#: nodes open, those of known nodes while there are no others, and those to
#: each small server. All nodes of a large fleet may call the target of one.
CLIENTS_SHARE = 0.55
NODES_SHARE = 0.2
KNOWN_NODES_SHARE = 0.25
SMALL_SERVER_SHARE = 0.02

#: Number of connections to a small server that may always be open.
MIN_SMALL_SERVER_COUNT = 3


def clients(max_descriptors):
    """Return the number of connections that clients may keep open.

    Parameters
    ----------
    max_descriptors : int
        Number of descriptors that the process may open.
    """
    return max(1, int(CLIENTS_SHARE * (max_descriptors - OWN_COUNT)))


def nodes(max_descriptors):
    """Return the number of connections that other nodes may keep open.

    Parameters
    ----------
    max_descriptors : int
        Number of descriptors that the process may open.
    """
    return max(1, int(NODES_SHARE * (max_descriptors - OWN_COUNT)))


def known_nodes(max_descriptors):
    """Return the number of connections that known nodes may keep open.

    Parameters
    ----------
    max_descriptors : int
        Number of descriptors that the process may open.
    """
    return max(1, int(KNOWN_NODES_SHARE * (max_descriptors - OWN_COUNT)))


def small_server(max_descriptors):
    """Return the number of connections to one port of a small server.

    Parameters
    ----------
    max_descriptors : int
        Number of descriptors that the process may open.
    """
    count = int(SMALL_SERVER_SHARE * (max_descriptors - OWN_COUNT))
    return max(MIN_SMALL_SERVER_COUNT, count)
