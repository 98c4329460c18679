"""Configuration: the document, its parts and its versions."""

from amaranthslip.configuration.document import Document
from amaranthslip.configuration.holder import Holder
from amaranthslip.configuration.spread import Spread
from amaranthslip.configuration.store import Store
from amaranthslip.configuration.submission import Submission

__all__ = ['Document', 'Holder', 'Spread', 'Store', 'Submission']
