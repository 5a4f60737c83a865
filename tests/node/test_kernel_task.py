"""The kernel's greenlet goes on after errors of single events and effects."""

import attrs
import gevent
import pytest

from rosemarycrank import kernel
from rosemarycrank.node import _kernel_task

ADDRESS = 'n0:1'


@attrs.frozen
class _Effect:
    name: str


class _Emitter(kernel.Component):
    """Emits an effect for each word of an event."""

    name = 'emitter'
    handles = {kernel.ClientGone: '_emit'}

    def _emit(self, event):
        for name in event.request_id.split():
            self.context.emit(_Effect(name))

    def dump(self):
        return {}


@pytest.fixture
def executed():
    return []


@pytest.fixture
def task(executed):
    def execute(effect):
        if effect.name == 'odd':
            raise OverflowError('port must be 0-65535')
        executed.append(effect.name)

    context = kernel.Context(ADDRESS, 1, 1)
    task = _kernel_task.KernelTask(kernel.Kernel(context, [_Emitter()]))
    task.register_executor(_Effect, execute)
    task.start()
    yield task
    task.stop()


# Guards against a node that ends as one of its effects cannot be executed.
def test_effects_after_one_that_fails_are_executed(task, executed):
    task.post(kernel.ClientGone('odd a'))
    task.post(kernel.ClientGone('b'))
    with gevent.Timeout(10.0):
        while len(executed) < 2:
            gevent.sleep(0.01)
    assert executed == ['a', 'b']
    assert task.errors_ == 1


# Guards against a caller that waits in vain for a function that has failed.
def test_error_of_a_function_reaches_its_caller(task):
    with pytest.raises(ZeroDivisionError):
        task.run_in_kernel(lambda: 1 // 0)
    assert task.run_in_kernel(lambda: 2) == 2
