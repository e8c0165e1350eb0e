#!/bin/sh
# Builds the stand-ins of the review's cases: callers, menu servers and the platform's side, in one program.
cd "$(dirname "$0")/.." && mkdir -p review/bin && go build -tags review -o review/bin/standin ./review/standin
