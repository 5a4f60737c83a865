"""Least-squares lines through measured points, and tables of results."""

FITTED_PATHS_BY_PART = {
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
COLUMN_PATHS_BY_PART = {
    **FITTED_PATHS_BY_PART,
    'domains': (
        *FITTED_PATHS_BY_PART['domains'],
        ('join_s', ('news', 'join_s', 'max')),
        ('leave_s', ('news', 'leave_s', 'max')),
        ('suspected_s', ('news', 'suspected_s', 'max')),
        ('failed_s', ('news', 'failed_s', 'max')),
    ),
    'sites': (
        *FITTED_PATHS_BY_PART['sites'],
        ('domain_lost_s', ('lost_domain', 'noticed_s')),
        ('domain_healed_s', ('lost_domain', 'healed_s')),
    ),
    'bundles': (
        *FITTED_PATHS_BY_PART['bundles'],
        ('in_force_s', ('in_force_s',)),
    ),
    'processes': (
        *FITTED_PATHS_BY_PART['processes'],
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
        ``base`` (the value at zero), ``slope``, and ``error``, the largest
        absolute residual.
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    squares_x = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / squares_x
    intercept = mean_y - slope * mean_x
    error = max(abs(intercept + slope * x - y) for x, y in points)
    return {
        'base': round(intercept, 4),
        'slope': round(slope, 6),
        'error': round(error, 4),
    }


def _get_path(figures, path):
    for key in path:
        figures = figures[key]
    return figures


def fit_lines(part, figures_by_size):
    """Fit each quantity as a line in the number of nodes of a domain.

    Parameters
    ----------
    part : str
        Name of the part of the benchmark.
    figures_by_size : list of dict
        Figures of the part at several sizes. Only those with the largest
        number of domains are fitted.

    Returns
    -------
    dict
        Line by name of the quantity; empty for fewer than two sizes.
    """
    max_domains = max(figures.get('domains', 1) for figures in figures_by_size)
    largest = [
        f for f in figures_by_size if f.get('domains', 1) == max_domains
    ]
    if len({figures['nodes'] for figures in largest}) < 2:
        return {}
    return {
        name: fit_line([(f['nodes'], _get_path(f, path)) for f in largest])
        for name, path in FITTED_PATHS_BY_PART[part]
    }


def format_table(part, figures_by_size):
    """Return figures as a Markdown table.

    Parameters
    ----------
    part : str
        Name of the part of the benchmark.
    figures_by_size : list of dict
        Figures of the part at several sizes.

    Returns
    -------
    str
        One row for each size.
    """
    columns = COLUMN_PATHS_BY_PART[part]
    names = ('domains', 'nodes', *(name for name, _ in columns))
    rows = [names, ['--:'] * len(names)]
    for figures in figures_by_size:
        values = [_get_path(figures, path) for _, path in columns]
        rows.append([figures.get('domains', 1), figures['nodes'], *values])
    return '\n'.join(f'| {" | ".join(map(str, cells))} |' for cells in rows)
