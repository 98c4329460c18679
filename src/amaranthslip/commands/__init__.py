"""Subcommands of the command line, and the code that they share.

Each subcommand is a function in a module of its own; `program` combines them.
The entry point of the process is `amaranthslip.__main__`, which applies
gevent's monkey patches first.
"""
