"""Backend servers: their slots, concurrency limits, load and health."""

from amaranthslip.capacity.health import Health
from amaranthslip.capacity.limits import Limit
from amaranthslip.capacity.loads import LoadReport
from amaranthslip.capacity.slots import Holding
from amaranthslip.capacity.slots import Slots

__all__ = ['Health', 'Holding', 'Limit', 'LoadReport', 'Slots']
