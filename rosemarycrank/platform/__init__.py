"""The platform's table service and object store."""

from rosemarycrank.platform import _operations

ObjectGet = _operations.ObjectGet
ObjectPut = _operations.ObjectPut
Row = _operations.Row
TableList = _operations.TableList
TableRead = _operations.TableRead
TableWrite = _operations.TableWrite
WriteResult = _operations.WriteResult

__all__ = [
    'ObjectGet',
    'ObjectPut',
    'Row',
    'TableList',
    'TableRead',
    'TableWrite',
    'WriteResult',
]
