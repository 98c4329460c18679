"""Group membership: failure detection and the roster of live instances."""

from amaranthslip.members.detector import Detector
from amaranthslip.members.members import Member
from amaranthslip.members.members import MemberState
from amaranthslip.members.roster import Roster

__all__ = ['Detector', 'Member', 'MemberState', 'Roster']
