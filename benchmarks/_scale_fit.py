"""Straight lines through measured points, and the table of results."""


def line(points):
    """Fit ``y = base + slope * x`` by least squares.

    Parameters
    ----------
    points : sequence of (float, float)
        At least two points.

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
        'base': round(base, 3),
        'slope': round(slope, 5),
        'error': round(error, 3),
    }


def fits(results):
    """Return the slopes in the size of a domain.

    Parameters
    ----------
    results : dict
        Results of the benchmark.

    Returns
    -------
    dict
        Line by name of the quantity; empty below two sizes.
    """
    domains = results['domains']
    found = {}
    if len(domains) > 1:
        for name in ('wire_bytes_s', 'sent_bytes_s', 'cpu_us_s'):
            found[f'domain {name} by nodes'] = line(
                [(d['nodes'], d['steady'][name]) for d in domains]
            )
    sites = [s for s in results['sites'] if s['domains'] == 18]
    if len(sites) > 1:
        for role in ('bridge', 'node'):
            for name in ('wire_bytes_s', 'cpu_us_s'):
                found[f'18 domains, {role} {name} by nodes'] = line(
                    [(s['nodes'], s['steady'][role][name]) for s in sites]
                )
    return found


def table(results):
    """Return the results as a table in Markdown.

    Parameters
    ----------
    results : dict
        Results of the benchmark.

    Returns
    -------
    str
        Lines of text.
    """
    lines = [
        '| nodes | B/s | B/s with TCP | us CPU/s | join s | leave s '
        '| suspected s | failed s | cold start s |',
        '|--:|--:|--:|--:|--:|--:|--:|--:|--:|',
    ]
    for figures in results['domains']:
        steady, news = figures['steady'], figures['news']
        lines.append(
            f'| {figures["nodes"]}'
            f' | {steady["sent_bytes_s"] + steady["received_bytes_s"]:.0f}'
            f' | {steady["wire_bytes_s"]:.0f} | {steady["cpu_us_s"]:.0f}'
            f' | {news["join_s"]["max"]} | {news["leave_s"]["max"]}'
            f' | {news["suspected_s"]["max"]} | {news["failed_s"]["max"]}'
            f' | {figures["cold_start"]["complete_s_after_last_start"]} |'
        )
    for figures in results['sites']:
        steady = figures['steady']
        lines.append(
            f'{figures["domains"]}x{figures["nodes"]}:'
            f' bridge {steady["bridge"]["wire_bytes_s"]:.0f} B/s'
            f' {steady["bridge"]["cpu_us_s"]:.0f} us/s,'
            f' node {steady["node"]["wire_bytes_s"]:.0f} B/s'
            f' {steady["node"]["cpu_us_s"]:.0f} us/s,'
            f' leave {figures["news"]["leave_s"]} s,'
            f' domain lost {figures["lost_domain"]}'
        )
    return '\n'.join(lines)
