"""Fair scheduling of client accounts across the fleet."""

from amaranthslip.shares.dispatcher import Dispatcher
from amaranthslip.shares.leases import SlotLease
from amaranthslip.shares.ledger import Ledger
from amaranthslip.shares.ownership import Ownership
from amaranthslip.shares.scheduler import Scheduler
from amaranthslip.shares.servicequeue import ServiceQueue

__all__ = [
    'Dispatcher',
    'Ledger',
    'Ownership',
    'Scheduler',
    'ServiceQueue',
    'SlotLease',
]
