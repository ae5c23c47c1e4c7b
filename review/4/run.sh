#!/usr/bin/env bash
# Shows that a pass begins with two expert maps; see claim.txt.
cd "$(dirname "$0")/../.."
exec review/standins-2/run-case reused-pass review/4
