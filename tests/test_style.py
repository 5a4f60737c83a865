"""Rules of the house style that the linter cannot check."""

import ast
import builtins
import importlib.util
import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parents[1]
SOURCES = sorted(
    path
    for folder in ('rosemarycrank', 'benchmarks', 'tests')
    for path in (ROOT / folder).rglob('*.py')
)


def _is_module(name):
    try:
        return importlib.util.find_spec(name) is not None
    except ModuleNotFoundError:
        return False


def _section_names(node, title):
    """Return the names that a section of a docstring describes, in order."""
    docstring = ast.get_docstring(node) or ''
    underline = '-' * len(title)
    _, _, rest = docstring.partition(f'{title}\n{underline}\n')
    section = re.split(r'\n\n\w+\n-+\n', rest, maxsplit=1)[0]
    headings = re.findall(r'^\S.*$', section, re.MULTILINE)
    return [
        name.lstrip('*')
        for heading in headings
        for name in heading.split(' : ')[0].split(', ')
    ]


def _parameters(function):
    """Return the names of a function's parameters, as callers see them."""
    signature = function.args
    arguments = [
        *signature.posonlyargs,
        *signature.args,
        signature.vararg,
        *signature.kwonlyargs,
        signature.kwarg,
    ]
    names = [argument.arg for argument in arguments if argument is not None]
    decorators = [ast.unparse(node) for node in function.decorator_list]
    is_bound = names[:1] == ['self'] or 'classmethod' in decorators
    return names[1:] if is_bound else names


def _constructor_parameters(cls):
    """Return the parameters of ``__init__`` or of an attrs class.

    Fields of an attrs class that are described as attributes are left out.
    """
    for statement in cls.body:
        if getattr(statement, 'name', '') == '__init__':
            return _parameters(statement)
    fields = [
        statement.target.id.lstrip('_')
        for statement in cls.body
        if isinstance(statement, ast.AnnAssign)
    ]
    attributes = _section_names(cls, 'Attributes')
    return [name for name in fields if name not in attributes]


def _attributes(cls):
    """Return the names defined in a class or set on its instances."""
    nodes = list(ast.walk(cls))
    return (
        {node.name for node in nodes if isinstance(node, ast.FunctionDef)}
        | {node.id for node in nodes if isinstance(node, ast.Name)}
        | {node.attr for node in nodes if isinstance(node, ast.Attribute)}
    )


def _nodes(path, node_type):
    tree = ast.parse(path.read_text())
    return [node for node in ast.walk(tree) if isinstance(node, node_type)]


@pytest.fixture(scope='module')
def class_names():
    """Names of all classes of the sources and of the built-in ones."""
    return {
        node.name for path in SOURCES for node in _nodes(path, ast.ClassDef)
    } | set(dir(builtins))


@pytest.mark.parametrize('path', SOURCES, ids=lambda p: str(p.name))
def test_modules_are_imported_not_names(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom):
            for alias in node.names:
                assert _is_module(f'{node.module}.{alias.name}'), alias.name


@pytest.mark.parametrize('path', SOURCES, ids=lambda p: str(p.name))
def test_docstrings_of_functions_match_the_signature(path):
    for function in _nodes(path, ast.FunctionDef):
        if documented := _section_names(function, 'Parameters'):
            assert documented == _parameters(function), function.name


@pytest.mark.parametrize('path', SOURCES, ids=lambda p: str(p.name))
def test_docstrings_of_classes_match_the_signature(path):
    for cls in _nodes(path, ast.ClassDef):
        attributes = _section_names(cls, 'Attributes')
        assert _attributes(cls).issuperset(attributes), cls.name
        if documented := _section_names(cls, 'Parameters'):
            assert documented == _constructor_parameters(cls), cls.name


@pytest.mark.parametrize('path', SOURCES, ids=lambda p: str(p.name))
def test_docstrings_name_existing_errors(path, class_names):
    for function in _nodes(path, ast.FunctionDef):
        for name in _section_names(function, 'Raises'):
            module, _, class_name = name.rpartition('.')
            if not module or module.startswith('rosemarycrank'):
                assert class_name in class_names, function.name
