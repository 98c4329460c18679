"""Steps that run the single-file binary."""

import pathlib
import shutil
import sys
import tempfile

import behave
import tomli_w

from bench import processes

_BINARY = pathlib.Path('dist/amaranthslip')
_STOP_SECONDS = 60


def _find_python():
    """Return the base interpreter, without the packages of the virtualenv."""
    return str(pathlib.Path(sys.base_prefix) / 'bin' / 'python3')


@behave.given('the binary in a folder of its own with an empty environment')
def copy_binary(context):
    assert _BINARY.exists(), 'dist/amaranthslip is missing; run `make binary`'
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.binary_folder = pathlib.Path(folder.name)
    shutil.copy(_BINARY, context.binary_folder)
    ports = processes.Ports(3)
    context.add_cleanup(ports.close)
    context.binary_addresses = [f'127.0.0.1:{port}' for port in ports.numbers]
    callers, operators, peers = context.binary_addresses
    # Nothing listens on this port: a router also starts while the platform's
    # store is unreachable.
    store_url = 'http://127.0.0.1:9'
    sections = {
        'instance': {'name': 'a', 'failure_domain': 'b', 'region': 'c'},
        'addresses': {
            'callers': callers,
            'operators': operators,
            'peers': peers,
        },
        'platform': {'key_value': store_url},
        'shutdown': {'notice_seconds': 0.1},
    }
    path = context.binary_folder / 'router.toml'
    path.write_text(tomli_w.dumps(sections))


@behave.when('a router is started from the binary')
def start_router(context):
    folder = context.binary_folder
    command = [_find_python(), str(folder / 'amaranthslip')]
    context.binary_router = processes.Process(
        'router',
        [*command, 'router', str(folder / 'router.toml')],
        folder,
        environment={
            'SHIV_ROOT': str(folder / 'unpacked'),
            'HOME': str(folder / 'nowhere'),
        },
    )
    context.add_cleanup(context.binary_router.close)
    context.binary_router.start()


@behave.then("the binary's router listens for callers and peers")
def check_listeners(context):
    callers, _, peers = context.binary_addresses
    for address in (callers, peers):
        context.binary_router.wait_for_listener(address)


@behave.then("the binary's router has no child process")
def check_children(context):
    children = context.binary_router.list_children()
    assert not children, children


@behave.then(
    'the binary unpacked files only below the folder named by SHIV_ROOT'
)
def check_folders(context):
    found = {path.name for path in context.binary_folder.iterdir()}
    expected = {'amaranthslip', 'router.toml', 'router.log', 'unpacked'}
    assert found == expected, found


@behave.when("the binary's router is terminated")
def stop_router(context):
    context.binary_router.terminate()


@behave.then("the binary's router ends with exit code 0")
def check_end(context):
    code = context.binary_router.wait(_STOP_SECONDS)
    assert code == 0, context.binary_router.read_output()
