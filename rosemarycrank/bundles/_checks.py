"""Cross-checks between the sections of a bundle document."""


def check_references(document, context):
    """Record problems that concern more than one section of a document.

    These are references to unknown services or classes, services listed
    twice or without a rule, and rules that an earlier rule hides.

    Parameters
    ----------
    document : rosemarycrank.settings.LocatedValue
        Content of the file; its values may be of any type.
    context : rosemarycrank.settings.ValidationContext
        Root of the file; records the problems.
    """
    services = _check_services(document.get('services'), context)
    _check_rules(document, services, context.child('rules'))
    _check_services_have_rules(document, context.child('services'))
    _check_partners(document.get('partners'), services, context)


def _check_services(located, context):
    services = []
    for index, service in enumerate(located.as_list()):
        if service.data in services:
            context.child('services').item(index).add_problem(
                service.line, service.describe(), 'each service once'
            )
        services.append(service.data)
    return services


def _check_rules(document, services, context):
    classes = list(document.get('classes').as_dict())
    catch_alls = []
    for index, rule in enumerate(document.get('rules').as_list()):
        rule_context = context.item(index)
        _check_name(rule, 'service', services, rule_context)
        _check_name(rule, 'class_name', classes, rule_context)
        _check_reachable(rule, catch_alls, rule_context)
        if rule.get('path').data in (None, '*'):
            catch_alls.append(rule)


def _check_name(located, key, allowed, context):
    found = located.get(key)
    if found.data is not None and found.data not in allowed:
        context.child(key).add_problem(
            found.line, found.describe(), f'one of {sorted(map(str, allowed))}'
        )


def _check_reachable(rule, catch_alls, context):
    for earlier in catch_alls:
        same_service = earlier.get('service').data == rule.get('service').data
        methods = (None, '*', rule.get('method').data)
        if same_service and earlier.get('method').data in methods:
            context.add_problem(
                rule.line,
                'a rule that is never reached',
                f'rules before the one on line {earlier.line}, which '
                'matches every path',
            )
            return


def _check_services_have_rules(document, context):
    services_with_rules = [
        rule.get('service').data for rule in document.get('rules').as_list()
    ]
    for index, service in enumerate(document.get('services').as_list()):
        if service.data not in services_with_rules:
            context.item(index).add_problem(
                service.line, f'{service.describe()} without a rule', 'a rule'
            )


def _check_partners(located, services, context):
    for name, partner in located.as_dict().items():
        child_context = (
            context.child('partners').child(name).child('upstreams')
        )
        for index, group in enumerate(partner.get('upstreams').as_list()):
            _check_name(group, 'service', services, child_context.item(index))
