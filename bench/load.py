"""The load tool: runs a plan in several processes, merges what they saw.

    python -m bench.load PLAN.json OBSERVATION.json

is one worker; `run_load` starts them.
"""

from gevent import monkey

if __name__ == '__main__':
    monkey.patch_all()

import contextlib  # noqa: E402
import pathlib  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

from bench import callers  # noqa: E402
from bench import plans  # noqa: E402
from bench import processes  # noqa: E402
from bench import records  # noqa: E402

# Until a worker has imported its modules.
_PREPARE_SECONDS = 1.0
_FINISH_SECONDS = 60.0


class Load:
    """A running load: its workers, until `finish`.

    Parameters
    ----------
    plan : Plan
        Its `start` is set when the workers start.
    folder : pathlib.Path
        For the workers' plans, observations and output.
    workers : int
        How many processes share the load.
    """

    __slots__ = ('plan', '_folder', '_workers', '_stack')

    def __init__(
        self, plan: plans.Plan, folder: pathlib.Path, *, workers: int = 2
    ) -> None:
        self.plan = plan
        self._folder = folder
        self._stack = contextlib.ExitStack()
        self._workers = [self._build_worker(index) for index in range(workers)]

    def _build_worker(self, index: int) -> processes.Process:
        command = processes.build_python_command(
            'bench.load',
            str(self._folder / f'plan-{index}.json'),
            str(self._folder / f'observation-{index}.json'),
        )
        return processes.Process(f'load-{index}', command, self._folder)

    def __enter__(self) -> 'Load':
        self._folder.mkdir(parents=True, exist_ok=True)
        self.plan.start = time.monotonic() + _PREPARE_SECONDS
        parts = self.plan.split(len(self._workers))
        del self._workers[len(parts) :]
        for index, part in enumerate(parts):
            plans.write_plan(self._folder / f'plan-{index}.json', part)
            self._stack.callback(self._workers[index].close)
            self._workers[index].start()
        return self

    def __exit__(self, *exception: object) -> None:
        self._stack.close()

    def is_over(self) -> bool:
        """Return whether the planned time has passed."""
        return time.monotonic() >= self.plan.start + self.plan.seconds

    def measure_time(self) -> float:
        """Return seconds since the start; negative before it."""
        return time.monotonic() - self.plan.start

    def finish(self) -> records.Observation:
        """Wait for the workers; return what they saw together."""
        merged = records.Observation(
            start=self.plan.start,
            seconds=self.plan.seconds,
            step_seconds=self.plan.step_seconds,
        )
        end = self.plan.start + self.plan.seconds + _FINISH_SECONDS
        for index, worker in enumerate(self._workers):
            if worker.wait(max(0.0, end - time.monotonic())) != 0:
                raise processes.ProcessFailed(worker.read_output()[-2000:])
            path = self._folder / f'observation-{index}.json'
            merged.merge(records.read_observation(path))
        return merged


def run_load(
    plan: plans.Plan, folder: pathlib.Path, *, workers: int = 2
) -> records.Observation:
    """Run a plan to its end; return what its callers saw."""
    with Load(plan, folder, workers=workers) as load:
        return load.finish()


def main() -> None:
    """Run one worker."""
    plan_path, observation_path = map(pathlib.Path, sys.argv[1:3])
    running = callers.Callers(plans.read_plan(plan_path))
    running.run()
    records.write_observation(observation_path, running.observation)


if __name__ == '__main__':
    main()
