"""Removes from a folder of packages what a running router never reads.

    python release/trim.py FOLDER

An instance has no disk, so that whatever the binary unpacks takes memory.
Prints the bytes before and after.
"""

import pathlib
import shutil
import subprocess
import sys

# Tests of libraries, command-line programs of libraries, and what only a
# build needs.
_FOLDERS = (
    '_distutils_hack',
    'bin',
    'gevent/testing',
    'gevent/tests',
    'greenlet/tests',
    'markdown_it/cli',
    'setuptools',
    'zope/event/tests',
    'zope/interface/common/tests',
    'zope/interface/tests',
)
_FILES = ('distutils-precedence.pth',)
_SOURCES = ('.c', '.cpp', '.h', '.hpp', '.pxd', '.pyi', '.pyx')


def measure(folder: pathlib.Path) -> int:
    """Return the bytes of all files in a folder."""
    return sum(
        path.stat().st_size for path in folder.rglob('*') if path.is_file()
    )


def remove_unread(folder: pathlib.Path) -> None:
    """Delete the listed folders and files, sources and bytecode."""
    for name in _FOLDERS:
        shutil.rmtree(folder / name, ignore_errors=True)
    for name in _FILES:
        (folder / name).unlink(missing_ok=True)
    for path in list(folder.rglob('*')):
        if path.suffix in _SOURCES and path.is_file():
            path.unlink()
        elif path.name == '__pycache__':
            shutil.rmtree(path)


def strip_symbols(folder: pathlib.Path) -> None:
    """Take symbols that only a debugger needs out of shared libraries."""
    program = shutil.which('strip')
    if program is None:
        return
    for path in folder.rglob('*.so'):
        subprocess.run([program, '--strip-unneeded', str(path)], check=True)


def main() -> None:
    """Trim the folder named on the command line."""
    folder = pathlib.Path(sys.argv[1])
    before = measure(folder)
    remove_unread(folder)
    strip_symbols(folder)
    print(f'{folder}: {before} bytes before, {measure(folder)} after')


if __name__ == '__main__':
    main()
