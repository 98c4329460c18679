"""Commands: the command line.

Each module holds one subcommand as a function; `program` joins them. The
process's entry is `amaranthslip.__main__`, which prepares gevent first.
"""
