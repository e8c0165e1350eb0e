#!/bin/sh
# Builds the stand-ins of the review's cases 6 to 10: callers, menu servers and the event bus, in one program.
cd "$(dirname "$0")/.." && mkdir -p review/bin && go build -tags review -o review/bin/second ./review/second
