#!/usr/bin/env bash
# A model service with two groups, one agent of which is killed. 1: the rule MAP was broken, 0: it
# held, 2: the case could not run. TROUBLE=0 runs the same without the disruption.
exec "$(dirname "$0")/../standins-2/run-case.sh" two-groups review/10
