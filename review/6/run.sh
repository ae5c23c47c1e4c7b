#!/usr/bin/env bash
# Shows that what is known of a request that crashes its runners is lost with an outage; see claim.txt.
cd "$(dirname "$0")/../.."
exec review/standins-2/run-case deadly-outage review/6
