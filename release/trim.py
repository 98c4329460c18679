"""Deletes files that a running router never reads from a package folder.

    python release/trim.py FOLDER

An instance has no disk, so every file that the binary unpacks takes memory.
Prints the size in bytes before and after.
"""

import pathlib
import shutil
import subprocess
import sys

# Tests and command-line programs of libraries, and packages that only a build
# needs.
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
_SOURCE_SUFFIXES = ('.c', '.cpp', '.h', '.hpp', '.pxd', '.pyi', '.pyx')


def measure_bytes(folder: pathlib.Path) -> int:
    """Return the total size of all files in a folder, in bytes."""
    return sum(
        path.stat().st_size for path in folder.rglob('*') if path.is_file()
    )


def remove_unused_files(folder: pathlib.Path) -> None:
    """Delete the listed folders and files, native sources and bytecode."""
    for name in _FOLDERS:
        shutil.rmtree(folder / name, ignore_errors=True)
    for name in _FILES:
        (folder / name).unlink(missing_ok=True)
    for path in list(folder.rglob('*')):
        if path.suffix in _SOURCE_SUFFIXES and path.is_file():
            path.unlink()
        elif path.name == '__pycache__':
            shutil.rmtree(path)


def strip_symbols(folder: pathlib.Path) -> None:
    """Strip symbols that only a debugger needs from shared libraries.

    Does nothing if the program `strip` is not installed.
    """
    program = shutil.which('strip')
    if program is None:
        return
    for path in folder.rglob('*.so'):
        subprocess.run([program, '--strip-unneeded', str(path)], check=True)


def main() -> None:
    """Trim the folder named on the command line."""
    folder = pathlib.Path(sys.argv[1])
    before = measure_bytes(folder)
    remove_unused_files(folder)
    strip_symbols(folder)
    print(f'{folder}: {before} bytes before, {measure_bytes(folder)} after')


if __name__ == '__main__':
    main()
