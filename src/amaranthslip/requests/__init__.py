"""Requests: a request's life, from its ticket to its outcome."""

from amaranthslip.requests.outcomes import Outcome
from amaranthslip.requests.tickets import Ticket

__all__ = ['Outcome', 'Ticket']
