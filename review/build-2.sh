#!/bin/sh
# Builds what the scripts of review/6 to review/10 start. Their stand-ins (review/standins) need
# the standard library alone, so that only the check remains that they can be imported. The daemons
# are built by the deploy file.
cd "$(dirname "$0")/.." || exit 1
PYTHONDONTWRITEBYTECODE=1 python3 -c "import review.standins.script" || exit 1
