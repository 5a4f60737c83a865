"""Client of the platform's table service and object store."""

from rosemarycrank.table_service import _errors
from rosemarycrank.table_service import _http
from rosemarycrank.table_service import _operations

HttpPlatform = _http.HttpPlatform
PlatformAnswerLost = _errors.PlatformAnswerLost
PlatformError = _errors.PlatformError
PlatformUnavailable = _errors.PlatformUnavailable

ObjectGet = _operations.ObjectGet
ObjectPut = _operations.ObjectPut
Row = _operations.Row
TableList = _operations.TableList
TableRead = _operations.TableRead
TableWrite = _operations.TableWrite
WriteResult = _operations.WriteResult

__all__ = [
    'HttpPlatform',
    'ObjectGet',
    'ObjectPut',
    'PlatformAnswerLost',
    'PlatformError',
    'PlatformUnavailable',
    'Row',
    'TableList',
    'TableRead',
    'TableWrite',
    'WriteResult',
]
