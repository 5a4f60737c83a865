"""In-memory model of the platform's table service and object store."""

import functools

from rosemarycrank import table_service


class Tables:
    """In-memory tables and objects; operations run one at a time.

    Attributes
    ----------
    reads : int
        Number of read operations.
    writes : int
        Number of write operations, including those that were not applied.
    """

    def __init__(self):
        self.reads = 0
        self.writes = 0
        self._rows_by_table = {}
        self._bodies_by_name = {}

    def execute(self, operation):
        """Carry out one operation.

        Parameters
        ----------
        operation : object
            Instance of an operation class of `rosemarycrank.table_service`.

        Returns
        -------
        object
            Result, of the type that the operation's class documents.

        Raises
        ------
        TypeError
            If `operation` is not an instance of such a class.
        """
        return self._execute(operation)

    @functools.singledispatchmethod
    def _execute(self, operation):
        raise TypeError(
            f'operation: unsupported type {type(operation).__name__}'
        )

    @_execute.register
    def _(self, operation: table_service.TableRead):
        self.reads += 1
        return self._rows_of_table(operation.table).get(operation.key)

    @_execute.register
    def _(self, operation: table_service.TableList):
        self.reads += 1
        rows = self._rows_of_table(operation.table)
        keys = sorted(k for k in rows if k.startswith(operation.prefix))
        return [rows[key] for key in keys[: operation.limit]]

    @_execute.register
    def _(self, operation: table_service.TableWrite):
        self.writes += 1
        rows = self._rows_of_table(operation.table)
        row = rows.get(operation.key)
        version = row.version if row is not None else 0
        if version != operation.expected_version:
            return table_service.WriteResult(applied=False, row=row)
        row = table_service.Row(
            key=operation.key,
            value=operation.value,
            version=version + 1,
            write_id=operation.write_id,
        )
        rows[operation.key] = row
        return table_service.WriteResult(applied=True, row=row)

    @_execute.register
    def _(self, operation: table_service.ObjectGet):
        self.reads += 1
        return self._bodies_by_name.get(operation.name)

    @_execute.register
    def _(self, operation: table_service.ObjectPut):
        self.writes += 1
        self._bodies_by_name[operation.name] = operation.body

    def _rows_of_table(self, table):
        return self._rows_by_table.setdefault(table, {})
