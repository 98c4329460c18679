"""Child processes of benchmarks and tests, each ended by its process id."""

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

_READY_TIMEOUT_SECONDS = 30.0
_POLL_SECONDS = 0.02


class ProcessFailed(Exception):
    """A process ended, did not become ready or rejected a request.

    The message has the output of the process or the path of its output file,
    or the reason of the rejection.
    """


class Process:
    """One child process, with its output written to a file.

    Parameters
    ----------
    name : str
        Name of the process, and of its output file without the suffix.
    command : sequence of str
        The program, which is searched for in PATH, and its arguments.
    folder : pathlib.Path
        Folder of the output file.
    environment : dict of str to str or None
        All environment variables of the process; by default those of the
        calling process.
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
        """The process id; also available after the process has ended."""
        return self._child.pid

    def start(self) -> None:
        """Start the process, or restart it after it has ended."""
        # Appends to the file, so the output of earlier starts is kept.
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
        """Return whether the process was started and has not ended."""
        return self._child is not None and self._child.poll() is None

    def read_output(self) -> str:
        """Return the output since the last start."""
        with self.path.open('rb') as output:
            output.seek(self._offset)
            return output.read().decode('utf-8', 'replace')

    def wait_for_port(self) -> int:
        """Wait for the output line `{"port": N}` and return the port.

        Raises
        ------
        ProcessFailed
            The process ended, or printed no such line in time.
        """
        end = time.monotonic() + _READY_TIMEOUT_SECONDS
        while time.monotonic() < end:
            for line in self.read_output().splitlines():
                with contextlib.suppress(ValueError, TypeError, KeyError):
                    return int(json.loads(line)['port'])
            self._check_running()
            time.sleep(_POLL_SECONDS)
        raise ProcessFailed(
            f'{self.name} did not print its port in time; see {self.path}'
        )

    def wait_for_listener(self, address: str) -> None:
        """Wait until connections to `address` are accepted.

        Raises
        ------
        ProcessFailed
            The process ended, or nothing listened in time.
        """
        host, _, port = address.rpartition(':')
        end = time.monotonic() + _READY_TIMEOUT_SECONDS
        while time.monotonic() < end:
            with contextlib.suppress(OSError):
                socket.create_connection((host, int(port)), 1.0).close()
                return
            self._check_running()
            time.sleep(_POLL_SECONDS)
        raise ProcessFailed(
            f'{self.name} does not accept connections; see {self.path}'
        )

    def _check_running(self) -> None:
        if not self.is_running():
            raise ProcessFailed(
                f'{self.name} ended with exit code {self._child.returncode}: '
                f'{self.read_output()[-2000:]}'
            )

    def pause(self) -> None:
        """Suspend the process, to simulate a long garbage collection."""
        self._child.send_signal(signal.SIGSTOP)
        self._paused = True

    def resume(self) -> None:
        """Continue a suspended process."""
        self._child.send_signal(signal.SIGCONT)
        self._paused = False

    def kill(self) -> None:
        """Kill the process without warning, as a crash does."""
        if self.is_running():
            self._child.kill()
        self._child.wait()

    def terminate(self) -> None:
        """Send SIGTERM to the process; return without waiting."""
        self._child.terminate()

    def hang_up(self) -> None:
        """Send SIGHUP, on which a router reloads its settings file."""
        self._child.send_signal(signal.SIGHUP)

    def wait(self, timeout: float) -> int:
        """Wait for the process to end and return its exit code."""
        return self._child.wait(timeout)

    def read_processor_seconds(self) -> float:
        """Return the processor time used, in seconds (Linux only)."""
        stat = pathlib.Path(f'/proc/{self.pid}/stat').read_text()
        fields = stat.rpartition(')')[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf('SC_CLK_TCK')

    def read_resident_bytes(self) -> int:
        """Return the resident memory, in bytes (Linux only)."""
        statm = pathlib.Path(f'/proc/{self.pid}/statm').read_text()
        return int(statm.split()[1]) * os.sysconf('SC_PAGE_SIZE')

    def list_children(self) -> list[int]:
        """Return the ids of the child processes (Linux only)."""
        tasks = pathlib.Path(f'/proc/{self.pid}/task')
        return [
            int(child)
            for task in tasks.iterdir()
            for child in (task / 'children').read_text().split()
        ]

    def close(self) -> None:
        """End the process if it was started, also while it is suspended."""
        if self._child is None:
            return
        if self._paused:
            self.resume()
        self.kill()


def build_python_command(module: str, *arguments: str) -> list[str]:
    """Return the command that runs a module with the current interpreter."""
    return [sys.executable, '-m', module, *arguments]


class Ports:
    """Free ports chosen by the kernel and reserved until `close`.

    A router's settings contain its addresses before the router starts, so
    the kernel can't choose the ports when the router binds them. A port that
    is only known to be free may soon be used for an outgoing connection on a
    busy machine. Here each port stays bound with SO_REUSEADDR, without
    listening: Linux lets a router that sets SO_REUSEADDR too bind and listen
    on the port, and does not use the port for outgoing connections.
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
        """Release the ports."""
        self._stack.close()
