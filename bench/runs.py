"""Measured runs of one deployment, policy and scenario or fault."""

import pathlib
import threading
import typing

import numpy

from amaranthslip import settings as settings_module
from bench import deployments
from bench import faults as faults_module
from bench import figures
from bench import fleet as fleet_module
from bench import load as load_module
from bench import plans
from bench import processes
from bench import records
from bench import sampling
from bench import scenarios

# The queues and engines fill up in the first seconds, which the measures
# exclude.
WARM_UP_SECONDS = 3.0
# A time in which requests wait and less than this fraction of the slots is
# busy counts as disturbed.
_HEALTHY_UTILISATION = 0.9
_FIRST_TOKEN_STEPS = 1.0
# Settings of the section `dispatch` whose unit is tokens.
_TOKEN_SETTINGS = ('charge_tokens', 'commit_tokens')


class Run:
    """The parameters of a run.

    Parameters
    ----------
    deployment : Deployment
        The deployment to start. It is not changed.
    policy : str
        The setting `dispatch.policy`.
    scenario : Scenario
        The scenario that builds the load.
    fault : Fault or None
        The fault to inject during the load.
    seconds : float
        Duration of the load; 0 for that of the fault or the scenario.
    seed : int
        Seed of the load. It does not depend on the policy, so policies are
        compared under the same load.
    through_proxy : bool
        Whether messages between routers are delayed by the deployment's
        delay.
    """

    __slots__ = (
        'deployment',
        'policy',
        'scenario',
        'fault',
        'seconds',
        'seed',
        'through_proxy',
    )

    def __init__(
        self,
        deployment: deployments.Deployment,
        policy: str,
        scenario: scenarios.Scenario,
        *,
        fault: faults_module.Fault | None = None,
        seconds: float = 0.0,
        seed: int = 1,
        through_proxy: bool = True,
    ) -> None:
        self.deployment = deployment
        self.policy = policy
        self.scenario = scenario
        self.fault = fault
        self.seconds = seconds or (fault or scenario).seconds
        self.seed = seed
        self.through_proxy = through_proxy

    @property
    def name(self) -> str:
        """The name of the fault, or of the scenario if there is no fault."""
        return self.fault.name if self.fault else self.scenario.name


class Result:
    """The measures of one run; the slots are the fields of the JSON file.

    A field that was not measured is None. `series` is not written.
    """

    __slots__ = (
        'policy',
        'deployment',
        'scenario',
        'fairness_gap_tokens',
        'gap_bound_tokens',
        'gap_accounts',
        'utilisation',
        'control_bytes_per_second_per_instance',
        'control_messages_per_second_per_instance',
        'control_by_kind_per_second_per_instance',
        'goodput',
        'refusals_by_reason',
        'failures_by_reason',
        'outcomes',
        'first_token_seconds_p50',
        'first_token_seconds_p95',
        'between_chunks_seconds_p95',
        'most_waiting_in_an_engine',
        'disturbed_seconds',
        'processor_share_per_router',
        'error',
        'series',
    )

    def __init__(self, run: Run) -> None:
        for name in self.__slots__:
            setattr(self, name, None)
        self.policy = run.policy
        self.deployment = run.deployment.name
        self.scenario = run.name

    def build_values(self) -> dict[str, typing.Any]:
        """Return the values that are written to the JSON file."""
        return {
            name: getattr(self, name)
            for name in self.__slots__
            if name != 'series'
        }


def execute_or_record_error(run: Run, folder: pathlib.Path) -> Result:
    """Execute a run; store the error message in `error` if the run fails.

    A fleet that does not recover from a fault is also a result, and must not
    prevent the remaining runs.
    """
    try:
        return execute(run, folder)
    except (processes.ProcessFailed, OSError) as error:
        result = Result(run)
        result.error = str(error)
        return result


def execute(run: Run, folder: pathlib.Path) -> Result:
    """Start the fleet, run the load and the fault, and measure the run.

    The fleet is stopped before the function returns.
    """
    deployment = run.deployment.copy()
    service = deployment.list_services('model')[0]
    scenarios.scale_estimates(deployment, service)
    # The scenario may change the document, so its load is built once before
    # the fleet starts. `_build_plan` builds the load again with the routers'
    # addresses, which are known only after the start.
    run.scenario.build(deployment, service, ['127.0.0.1:1'])
    with fleet_module.Fleet(
        deployment,
        folder,
        policy=run.policy,
        through_proxy=run.through_proxy,
        stale_list=bool(run.fault and run.fault.stale_list),
        settings=_build_settings(run.policy),
    ) as fleet:
        plan = _build_plan(run, fleet, service)
        return _measure(run, fleet, plan, service, folder)


def _build_settings(policy: str) -> dict[str, dict[str, typing.Any]]:
    """Return the settings that differ from the defaults.

    Settings in tokens are divided by the same factor as the request sizes.
    """
    scaled = {
        key: max(1, int(kind.default / scenarios.SIZE_SCALE))
        for key, kind in settings_module.SECTIONS['dispatch'].items()
        if key in _TOKEN_SETTINGS
    }
    return {
        'shutdown': {'notice_seconds': 0.5},
        'dispatch': {'policy': policy} | scaled,
    }


def _build_plan(
    run: Run, fleet: fleet_module.Fleet, service: str
) -> plans.Plan:
    entries = [router.callers for router in fleet.routers.values()]
    unscaled = run.deployment.copy()
    scenarios.scale_estimates(unscaled, service)
    return plans.Plan(
        traffics=run.scenario.build(unscaled, service, entries),
        seconds=run.seconds,
        seed=run.seed,
    )


def _measure(
    run: Run,
    fleet: fleet_module.Fleet,
    plan: plans.Plan,
    service: str,
    folder: pathlib.Path,
) -> Result:
    with (
        load_module.Load(plan, folder) as load,
        sampling.Sampler(fleet, service) as sampler,
    ):
        window = _MeasurementWindow(fleet, load)
        if run.fault:
            window.wait(faults_module.FAULT_START_SECONDS)
            run.fault.inject(fleet, load, service)
        observation = load.finish()
        window.end()
    result = Result(run)
    series = _build_series(fleet, observation, service)
    _fill_fairness(result, run, series, plan, fleet, service)
    _fill_occupancy(result, run, sampler, series, load)
    _fill_traffic(result, window)
    _fill_outcomes(result, observation)
    return result


class _MeasurementWindow:
    """Samples the routers at the end of the warm-up and of the load.

    A thread takes the first sample.
    """

    __slots__ = (
        '_fleet',
        '_load',
        '_thread',
        '_before',
        '_after',
        '_processor_seconds',
    )

    def __init__(
        self, fleet: fleet_module.Fleet, load: load_module.Load
    ) -> None:
        self._fleet = fleet
        self._load = load
        self._before: sampling.ControlSample | None = None
        self._after: sampling.ControlSample | None = None
        self._processor_seconds: dict[str, float] = {}
        self._thread = threading.Thread(
            target=self._take_first_sample, daemon=True
        )
        self._thread.start()

    def wait(self, seconds: float) -> None:
        """Wait until `seconds` after the load's start."""
        event = threading.Event()
        event.wait(max(0.0, seconds - self._load.read_elapsed_seconds()))

    def _take_first_sample(self) -> None:
        self.wait(WARM_UP_SECONDS)
        self._before = sampling.sample_control(self._fleet)
        self._processor_seconds = self._read_processors()

    def end(self) -> None:
        """Take the second sample, after the first one has been taken."""
        self._thread.join()
        self._after = sampling.sample_control(self._fleet)

    def _read_processors(self) -> dict[str, float]:
        return {
            router.name: router.process.read_processor_seconds()
            for router in self._fleet.routers.values()
            if router.process.is_running()
        }

    def compute_control_rate(self) -> sampling.ControlRate:
        """Return the control traffic between the two samples."""
        return sampling.ControlRate(self._before, self._after)

    def compute_processor_share(self) -> float:
        """Return the mean fraction of a core that a router used."""
        elapsed = self._after.time - self._before.time
        processor_seconds = self._read_processors()
        shares = []
        for name, seconds in processor_seconds.items():
            before = self._processor_seconds.get(name, 0.0)
            # The processor time of a restarted router starts at zero again.
            growth = seconds - before if seconds >= before else seconds
            shares.append(growth / elapsed)
        return sum(shares) / len(shares) if shares else 0.0


def _build_series(
    fleet: fleet_module.Fleet, observation: records.Observation, service: str
) -> figures.ServiceSeries:
    # The first token after a slot's grant arrives at the end of an engine
    # step at the earliest.
    min_service_seconds = fleet.step_seconds * _FIRST_TOKEN_STEPS
    shares = fleet.deployment.read_shares(service)
    return figures.build_series(
        observation, shares, service_seconds=min_service_seconds
    )


def _fill_fairness(
    result: Result,
    run: Run,
    series: figures.ServiceSeries,
    plan: plans.Plan,
    fleet: fleet_module.Fleet,
    service: str,
) -> None:
    steady = series.select_period(WARM_UP_SECONDS, run.seconds)
    gap = figures.compute_fairness_gap(steady)
    result.fairness_gap_tokens = gap.tokens
    result.gap_accounts = list(gap.accounts)
    result.gap_bound_tokens = figures.compute_gap_bound(
        largest_tokens=max(each.most_tokens for each in plan.traffics),
        slots=fleet.deployment.count_slots(service),
        shares=list(fleet.deployment.read_shares(service).values()),
    )
    result.series = series


def _fill_occupancy(
    result: Result,
    run: Run,
    sampler: sampling.Sampler,
    series: figures.ServiceSeries,
    load: load_module.Load,
) -> None:
    start = load.plan.start
    steady = series.select_period(WARM_UP_SECONDS, run.seconds)
    occupancy = sampler.build_occupancy(steady, start)
    result.utilisation = figures.compute_utilisation([occupancy])
    result.most_waiting_in_an_engine = sampler.count_most_waiting()
    if run.fault:
        result.disturbed_seconds = _find_disturbed_time(occupancy)


def _find_disturbed_time(occupancy: figures.Occupancy) -> float:
    """Return the seconds in which slots were idle while requests waited.

    Counts the samples in which the busy fraction of the slots is below
    `_HEALTHY_UTILISATION`.
    """
    with numpy.errstate(invalid='ignore'):
        busy = occupancy.busy / occupancy.slots
    disturbed = (busy < _HEALTHY_UTILISATION) & occupancy.waiting
    return float(disturbed.sum()) * sampling.SAMPLE_SECONDS


def _fill_traffic(result: Result, window: _MeasurementWindow) -> None:
    rate = window.compute_control_rate()
    result.control_bytes_per_second_per_instance = rate.bytes_per_second
    result.control_messages_per_second_per_instance = rate.messages_per_second
    result.control_by_kind_per_second_per_instance = rate.by_kind
    result.processor_share_per_router = window.compute_processor_share()


def _fill_outcomes(result: Result, observation: records.Observation) -> None:
    result.goodput = figures.compute_goodput(observation)
    result.refusals_by_reason = dict(figures.count_refusals(observation))
    result.failures_by_reason = dict(figures.count_failures(observation))
    result.outcomes = dict(figures.count_outcomes(observation))
    first = figures.compute_first_token(observation)
    result.first_token_seconds_p50 = first.p50
    result.first_token_seconds_p95 = first.p95
    chunk_gaps = figures.Percentiles(observation.gaps)
    result.between_chunks_seconds_p95 = chunk_gaps.p95
