"""Checks of a bundle document across its parts."""


def check_references(document, context):
    """Refuse references to unknown names, and gaps between the parts.

    Parameters
    ----------
    document : rosemarycrank.settings.LocatedValue
        Content of the file; its values may be of any type.
    context : rosemarycrank.settings.ValidationContext
        Takes the problems.
    """
    services = _check_services(document.get('services'), context)
    _check_rules(document, services, context.child('rules'))
    _check_services_have_rules(document, context.child('services'))
    _check_partners(document.get('partners'), services, context)


def _check_services(node, context):
    services = []
    for index, service in enumerate(node.as_list()):
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
        item = context.item(index)
        _check_name(rule, 'service', services, item)
        _check_name(rule, 'class_name', classes, item)
        _check_reachable(rule, catch_alls, item)
        if rule.get('path').data in (None, '*'):
            catch_alls.append(rule)


def _check_name(node, key, known, context):
    found = node.get(key)
    if found.data is not None and found.data not in known:
        context.child(key).add_problem(
            found.line, found.describe(), f'one of {sorted(map(str, known))}'
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
    ruled = [
        rule.get('service').data for rule in document.get('rules').as_list()
    ]
    for index, service in enumerate(document.get('services').as_list()):
        if service.data not in ruled:
            context.item(index).add_problem(
                service.line, f'{service.describe()} without a rule', 'a rule'
            )


def _check_partners(node, services, context):
    for name, partner in node.as_dict().items():
        child_context = (
            context.child('partners').child(name).child('upstreams')
        )
        for index, group in enumerate(partner.get('upstreams').as_list()):
            _check_name(group, 'service', services, child_context.item(index))
