#!/usr/bin/env bash
# Streams in which a server writes one event twice. 1: the rule ORDER was broken, 0: it held, 2: the
# case could not run. TROUBLE=0 runs the same without the disruption.
exec "$(dirname "$0")/../standins-2/run-case.sh" repeated-event review/9
