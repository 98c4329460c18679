"""Processes that the bench starts, watches and ends, each by its own id."""

import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
import typing

_READY_SECONDS = 30.0
_POLL_SECONDS = 0.02


class ProcessFailed(Exception):
    """A process ended or did not get ready; the message names its output."""


class Process:
    """One child process, with its output in a file.

    Parameters
    ----------
    name : str
        Names the output file.
    command : sequence of str
        What to run; the first word is looked up as usual.
    folder : pathlib.Path
        Where the output file goes.
    environment : dict of str to str or None
        Its whole environment; this process's by default.
    """

    __slots__ = (
        'name',
        'command',
        'path',
        '_environment',
        '_child',
        '_paused',
        '_offset',
    )

    def __init__(
        self,
        name: str,
        command: typing.Sequence[str],
        folder: pathlib.Path,
        *,
        environment: dict[str, str] | None = None,
    ) -> None:
        self.name = name
        self._environment = environment
        self.command = list(command)
        self.path = folder / f'{name}.log'
        self._child: subprocess.Popen | None = None
        self._paused = False
        self._offset = 0

    @property
    def pid(self) -> int:
        """The id of the process, also after it ended."""
        return self._child.pid

    def start(self) -> None:
        """Start it; a second start after an end is a restart."""
        # The output of an earlier start stays in the file.
        with self.path.open('ab') as output:
            self._offset = output.tell()
            self._child = subprocess.Popen(
                self.command,
                stdout=output,
                stderr=subprocess.STDOUT,
                env=self._environment,
            )
        self._paused = False

    def is_running(self) -> bool:
        """Return whether it was started and has not ended."""
        return self._child is not None and self._child.poll() is None

    def read_output(self) -> str:
        """Return what it wrote since its last start."""
        with self.path.open('rb') as output:
            output.seek(self._offset)
            return output.read().decode('utf-8', 'replace')

    def wait_for_port(self) -> int:
        """Return the port out of the line `{"port": N}` that it prints."""
        end = time.monotonic() + _READY_SECONDS
        while time.monotonic() < end:
            for line in self.read_output().splitlines():
                with contextlib.suppress(ValueError, TypeError, KeyError):
                    return int(json.loads(line)['port'])
            self._check_running()
            time.sleep(_POLL_SECONDS)
        raise ProcessFailed(f'{self.name} named no port; see {self.path}')

    def wait_for_listener(self, address: str) -> None:
        """Return once something accepts connections at `address`."""
        target, _, port = address.rpartition(':')
        end = time.monotonic() + _READY_SECONDS
        while time.monotonic() < end:
            with contextlib.suppress(OSError):
                socket.create_connection((target, int(port)), 1.0).close()
                return
            self._check_running()
            time.sleep(_POLL_SECONDS)
        raise ProcessFailed(f'{self.name} does not listen; see {self.path}')

    def _check_running(self) -> None:
        if not self.is_running():
            raise ProcessFailed(
                f'{self.name} ended with {self._child.returncode}: '
                f'{self.read_output()[-2000:]}'
            )

    def pause(self) -> None:
        """Stop its clock, as a long garbage collection or a freeze does."""
        self._child.send_signal(signal.SIGSTOP)
        self._paused = True

    def resume(self) -> None:
        """Let a paused process go on."""
        self._child.send_signal(signal.SIGCONT)
        self._paused = False

    def kill(self) -> None:
        """End it at once, as a crash does."""
        if self.is_running():
            self._child.kill()
        self._child.wait()

    def terminate(self) -> None:
        """Ask it to stop; returns at once."""
        self._child.terminate()

    def hang_up(self) -> None:
        """Tell it that its settings file has changed."""
        self._child.send_signal(signal.SIGHUP)

    def wait(self, timeout: float) -> int:
        """Wait for its end and return its exit code."""
        return self._child.wait(timeout)

    def read_processor_seconds(self) -> float:
        """Return the processor time it used, in seconds (Linux only)."""
        stat = pathlib.Path(f'/proc/{self.pid}/stat').read_text()
        fields = stat.rpartition(')')[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf('SC_CLK_TCK')

    def read_resident_bytes(self) -> int:
        """Return the memory it holds, in bytes (Linux only)."""
        statm = pathlib.Path(f'/proc/{self.pid}/statm').read_text()
        return int(statm.split()[1]) * os.sysconf('SC_PAGE_SIZE')

    def list_children(self) -> list[int]:
        """Return the ids of the processes that it started (Linux only)."""
        tasks = pathlib.Path(f'/proc/{self.pid}/task')
        return [
            int(child)
            for task in tasks.iterdir()
            for child in (task / 'children').read_text().split()
        ]

    def close(self) -> None:
        """End it, whatever state it is in."""
        if self._child is None:
            return
        if self._paused:
            self.resume()
        self.kill()


def build_python_command(module: str, *arguments: str) -> list[str]:
    """Return the command that runs a module with this interpreter."""
    return [sys.executable, '-m', module, *arguments]


class Ports:
    """Ports of the kernel's choice, kept until `close`.

    A router's addresses stand in its settings before it starts, so the
    kernel can't pick them at its start. A port that is merely known to be
    free is soon taken for an outgoing connection on a busy machine. Here
    each stays bound, but not listening, with SO_REUSEADDR: Linux lets a
    router that sets it too bind and listen there, and gives the port to no
    connection.
    """

    __slots__ = ('numbers', '_stack')

    def __init__(self, count: int) -> None:
        self._stack = contextlib.ExitStack()
        self.numbers = [self._reserve() for _ in range(count)]

    def _reserve(self) -> int:
        reserved = self._stack.enter_context(socket.socket())
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.bind(('127.0.0.1', 0))
        return reserved.getsockname()[1]

    def close(self) -> None:
        """Give the ports back."""
        self._stack.close()
