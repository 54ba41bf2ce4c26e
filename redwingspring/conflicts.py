"""Checks of configuration exceptions against each other and the services."""


def check_contradictions(source, parsed):
    """Report exceptions of equal selectors that set different values for a key.

    Unequal selectors need no check here: two selectors of equal specificity overlap
    only when they are equal.

    Parameters
    ----------
    source : YamlSource
        Collects the reported problems.
    parsed : iterable of tuple of (dict of str to Node, ConfigurationException)
        Parsed parts of each exception by name, and the exception itself.
    """
    first = {}
    for parts, exception in parsed:
        selector = (exception.service, exception.target, exception.data_centre)
        if selector == (None, None, None):
            continue
        for key, value in exception.values.items():
            other = first.setdefault((selector, key), exception)
            if other.values[key] != value:
                message = (
                    f"contradicts the exception in line {other.line}, which sets "
                    f"another value for {exception.selector}; keep one of them"
                )
                source.report(parts["set"].value[key], message)


def check_matches(source, parsed, services):
    """Report exceptions whose selector matches no target.

    Parameters
    ----------
    source : YamlSource
        Collects the reported problems.
    parsed : iterable of tuple of (dict of str to Node, ConfigurationException)
        Parsed parts of each exception by name, and the exception itself.
    services : mapping of str to Service
        All services.
    """
    targets = [target for service in services.values() for target in service.targets]
    known = {
        "service": set(services),
        "target": {target.address for target in targets},
        "data_centre": {target.data_centre for target in targets},
    }
    by_address = {}
    for target in targets:
        by_address.setdefault(target.address, []).append(target)
    pairs = {(target.service, target.data_centre) for target in targets}
    for parts, exception in parsed:
        given = {part: getattr(exception, part) for part in known if part in parts}
        if not given or None in given.values():
            continue
        unknown = [part for part in given if given[part] not in known[part]]
        for part in unknown:
            message = f"matches nothing: there is no {part} {given[part]!r}"
            message += source.suggest(given[part], known[part])
            source.report(parts[part], message)
        if unknown:
            continue
        if exception.target is not None:
            found = any(map(exception.matches, by_address[exception.target]))
        elif "service" in given and "data_centre" in given:
            found = (exception.service, exception.data_centre) in pairs
        else:
            found = True
        if not found:
            part = next(reversed(given))
            message = f"matches nothing: no target has {exception.selector}"
            source.report(parts[part], message)
