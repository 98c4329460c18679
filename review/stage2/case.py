"""Runs one case: processes, time limit, record and exit code."""

import asyncio
import os
import pathlib
import tempfile
import time
import traceback

from review.stage2 import fleet

_LIMIT_SECONDS = 110.0


class Case:
    """The running case: its folder, its record and what it started."""

    def __init__(self, folder, working_folder):
        self.trouble = os.environ.get('TROUBLE', '1') != '0'
        self.working_folder = pathlib.Path(working_folder)
        self._lines = []
        self._path = pathlib.Path(folder) / 'record.txt'
        self._started_at = time.monotonic()
        self._routers = []

    def note(self, text):
        """Add a line to the record."""
        self._lines.append(
            f'{time.monotonic() - self._started_at:8.3f} {text}'
        )

    def since_start(self, moment):
        """Return a monotonic time as seconds of the record."""
        return moment - self._started_at

    def build_router(self, *arguments, **bounds):
        router = fleet.Router(self.working_folder, *arguments, **bounds)
        self._routers.append(router)
        return router

    def close(self):
        """End all processes and write the record."""
        for router in self._routers:
            router.stop()
        self._path.write_text('\n'.join(self._lines) + '\n')


def run(main, file):
    """Run the coroutine `main(case)`; it returns whether the rule held."""
    folder = pathlib.Path(file).resolve().parent
    with tempfile.TemporaryDirectory() as working_folder:
        case = Case(folder, working_folder)
        try:
            loop = asyncio.new_event_loop()
            held = loop.run_until_complete(
                asyncio.wait_for(main(case), _LIMIT_SECONDS)
            )
            code = 0 if held else 1
        except Exception:
            case.note('the case could not run')
            case.note(traceback.format_exc())
            for path in sorted(case.working_folder.glob('*.log')):
                case.note(f'{path.name}: {path.read_text()[-1500:]}')
            code = 2
        finally:
            case.close()
    print(f'exit {code}: see {folder.name}/record.txt', flush=True)
    # Without the end of the loop, which would wait for its open connections.
    os._exit(code)
