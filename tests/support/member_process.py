"""One member in a separate process, for tests that stop it by a signal.

The arguments are the name of the member, then name=address of each other
member. The process prints its address, and then its counters as JSON for each
line that it reads from standard input.
"""

import json
import sys

from gevent import fileobject

from tests.support import live_fleet


def main() -> None:
    """Run until standard input ends."""
    name, *others = sys.argv[1:]
    listed = live_fleet.InstanceList()
    listed.members = [
        live_fleet.build_listed(*other.split('=')) for other in others
    ]
    member = live_fleet.LiveMember(name, listed, via={})
    member.detector.start()
    print(member.links.address, flush=True)
    for _ in fileobject.FileObject(sys.stdin):
        counts = {
            event: member.count(event)
            for event in ('died', 'suspected', 'paused', 'refuted_own')
        }
        counts['live'] = sorted(member.read_live())
        print(json.dumps(counts), flush=True)
    member.close()


if __name__ == '__main__':
    main()
