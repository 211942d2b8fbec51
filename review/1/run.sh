#!/bin/bash
# Plays the case on real processes: 1 if the rule is broken, 0 if it holds, 2 if the case can't run.
# TROUBLE=0 sends the same bodies with another content type.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/upload ] && [ -x target/thymerackd ] || exit 2
exec review/bin/upload review/1/record.txt
