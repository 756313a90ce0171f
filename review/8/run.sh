#!/usr/bin/env bash
# A planned stop of an entry that has been asked for a long stream. 1: the rule LOST was broken, 0: it
# held, 2: the case could not run. TROUBLE=0 runs the same without the stop.
exec "$(dirname "$0")/../standins-2/run-case.sh" planned-stop review/8
