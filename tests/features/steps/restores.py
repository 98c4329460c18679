"""Steps about a store that is restored from an older copy."""

import behave

from tests.support import exchanges


@behave.given(
    'a copy of the store, after which {count:d} versions were written'
)
def write_after_copy(context, count):
    context.side.send_store_command('/standin/snapshot')
    for _ in range(count):
        context.version += 1
        context.side.configure(version=context.version)
    context.side.wait_until_synced()


def restore_store(context, write):
    """Restore the copy while no call is answered, and write what follows."""
    side = context.side
    side.send_store_command('/standin/faults', mode='down')
    exchanges.wait_until(lambda: not side.instance.reaches_store)
    side.send_store_command('/standin/restore')
    write()
    side.send_store_command('/standin/faults', mode='up')


def write_leaving(context, name):
    context.side.register(context.side.backends[name], state='draining')


@behave.when(
    'the store is restored from the copy, and {count:d} changes follow, the'
    ' first of which says that "{name}" leaves'
)
def restore_and_write(context, count, name):
    def write():
        write_leaving(context, name)
        for _ in range(count - 1):
            context.version += 1
            context.side.configure(version=context.version)

    restore_store(context, write)


def find_server(context, name):
    """Return the status of a server at the instance, or None."""
    status = context.side.instance._describe_status()
    found = [
        each for each in status['backend_servers'] if each['name'] == name
    ]
    return found[0] if found else None


@behave.then('the instance knows that "{name}" leaves')
def check_leaving(context, name):
    exchanges.wait_until(lambda: find_server(context, name)['leaving'])
