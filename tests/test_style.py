"""Rules of the house style that the linter cannot check."""

import ast
import importlib.util
import pathlib

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


@pytest.mark.parametrize('path', SOURCES, ids=lambda p: str(p.name))
def test_modules_are_imported_not_names(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom):
            for alias in node.names:
                assert _is_module(f'{node.module}.{alias.name}'), alias.name
