"""Request admission, retries, idempotency claims and quarantine."""

from amaranthslip.requests.outcomes import Outcome
from amaranthslip.requests.tickets import Ticket

__all__ = ['Outcome', 'Ticket']
