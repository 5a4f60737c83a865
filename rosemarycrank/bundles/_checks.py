"""Cross-checks between the sections of a bundle document."""


def check_references(document, place):
    """Record problems that concern more than one section of a document.

    These are references to unknown services or classes, services listed
    twice or without a rule, and rules that an earlier rule hides.

    Parameters
    ----------
    document : rosemarycrank.settings.Located
        Content of the file; its values may be of any type.
    place : rosemarycrank.settings.Place
        Root of the file; records the problems.
    """
    services = _check_services(document.at('services'), place)
    _check_rules(document, services, place.child('rules'))
    _check_services_have_rules(document, place.child('services'))
    _check_partners(document.at('partners'), services, place)


def _check_services(located, place):
    services = []
    for index, service in enumerate(located.items()):
        if service.data in services:
            place.child('services').item(index).refuse(
                service.line, service.shown(), 'each service once'
            )
        services.append(service.data)
    return services


def _check_rules(document, services, place):
    classes = list(document.at('classes').by_key())
    catch_alls = []
    for index, rule in enumerate(document.at('rules').items()):
        item = place.item(index)
        _check_name(rule, 'service', services, item)
        _check_name(rule, 'class_name', classes, item)
        _check_reachable(rule, catch_alls, item)
        if rule.at('path').data in (None, '*'):
            catch_alls.append(rule)


def _check_name(located, key, allowed, place):
    found = located.at(key)
    if found.data is not None and found.data not in allowed:
        place.child(key).refuse(
            found.line, found.shown(), f'one of {sorted(map(str, allowed))}'
        )


def _check_reachable(rule, catch_alls, place):
    for earlier in catch_alls:
        same_service = earlier.at('service').data == rule.at('service').data
        methods = (None, '*', rule.at('method').data)
        if same_service and earlier.at('method').data in methods:
            place.refuse(
                rule.line,
                'a rule that is never reached',
                f'rules before the one on line {earlier.line}, which '
                'matches every path',
            )
            return


def _check_services_have_rules(document, place):
    services_with_rules = [
        rule.at('service').data for rule in document.at('rules').items()
    ]
    for index, service in enumerate(document.at('services').items()):
        if service.data not in services_with_rules:
            place.item(index).refuse(
                service.line, f'{service.shown()} without a rule', 'a rule'
            )


def _check_partners(located, services, place):
    for name, partner in located.by_key().items():
        groups = place.child('partners').child(name).child('upstreams')
        for index, group in enumerate(partner.at('upstreams').items()):
            _check_name(group, 'service', services, groups.item(index))
