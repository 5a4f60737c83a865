"""Straight lines through measured points, and tables of results."""

QUANTITIES_BY_PART = {
    'domains': (
        ('wire_bytes_s', ('steady', 'wire_bytes_s')),
        ('sent_bytes_s', ('steady', 'sent_bytes_s')),
        ('cpu_us_s', ('steady', 'cpu_us_s')),
        ('cold_start_bytes', ('cold_start', 'bytes_a_node')),
    ),
    'sites': (
        ('bridge_wire_bytes_s', ('steady', 'bridge', 'wire_bytes_s')),
        ('bridge_cpu_us_s', ('steady', 'bridge', 'cpu_us_s')),
        ('node_wire_bytes_s', ('steady', 'node', 'wire_bytes_s')),
        ('node_cpu_us_s', ('steady', 'node', 'cpu_us_s')),
    ),
    'bundles': (
        ('wire_bytes_s', ('usage', 'wire_bytes_s')),
        ('cpu_us_s', ('usage', 'cpu_us_s')),
    ),
    'processes': (
        ('sent_bytes_s', ('idle', 'sent_bytes_s')),
        ('cpu_share', ('idle', 'cpu_share')),
        ('resident_mb', ('resident_mb',)),
    ),
}
COLUMNS_BY_PART = {
    **QUANTITIES_BY_PART,
    'domains': (
        *QUANTITIES_BY_PART['domains'],
        ('join_s', ('news', 'join_s', 'max')),
        ('leave_s', ('news', 'leave_s', 'max')),
        ('suspected_s', ('news', 'suspected_s', 'max')),
        ('failed_s', ('news', 'failed_s', 'max')),
    ),
    'sites': (
        *QUANTITIES_BY_PART['sites'],
        ('domain_lost_s', ('lost_domain', 'noticed_s')),
        ('domain_healed_s', ('lost_domain', 'healed_s')),
    ),
    'bundles': (
        *QUANTITIES_BY_PART['bundles'],
        ('in_force_s', ('in_force_s',)),
    ),
    'processes': (
        *QUANTITIES_BY_PART['processes'],
        ('suspected_s', ('suspected_s',)),
        ('left_s', ('left_s',)),
    ),
}


def fit_line(points):
    """Fit ``y = base + slope * x`` by least squares.

    Parameters
    ----------
    points : sequence of (float, float)
        At least two points of different ``x``.

    Returns
    -------
    dict
        ``base``, ``slope``, and ``error``: the largest distance of a point.
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    base = mean_y - slope * mean_x
    error = max(abs(base + slope * x - y) for x, y in points)
    return {
        'base': round(base, 4),
        'slope': round(slope, 6),
        'error': round(error, 4),
    }


def _look_up(figures, path):
    for key in path:
        figures = figures[key]
    return figures


def fit_lines(part, measured):
    """Return lines in the number of nodes of a domain.

    Parameters
    ----------
    part : str
        Part of the benchmark.
    measured : list of dict
        Its figures at several sizes; of sites, those with most domains
        count.

    Returns
    -------
    dict
        Line by name of the quantity; empty below two sizes.
    """
    most = max(figures.get('domains', 1) for figures in measured)
    same = [f for f in measured if f.get('domains', 1) == most]
    if len({figures['nodes'] for figures in same}) < 2:
        return {}
    return {
        name: fit_line([(f['nodes'], _look_up(f, path)) for f in same])
        for name, path in QUANTITIES_BY_PART[part]
    }


def format_table(part, measured):
    """Return figures as a table in Markdown.

    Parameters
    ----------
    part : str
        Part of the benchmark.
    measured : list of dict
        Its figures.

    Returns
    -------
    str
        Lines of text.
    """
    columns = COLUMNS_BY_PART[part]
    names = ('domains', 'nodes', *(name for name, _ in columns))
    rows = [names, ['--:'] * len(names)]
    for figures in measured:
        values = [_look_up(figures, path) for _, path in columns]
        rows.append([figures.get('domains', 1), figures['nodes'], *values])
    return '\n'.join(f'| {" | ".join(map(str, cells))} |' for cells in rows)
