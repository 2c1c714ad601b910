#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 nothing is disturbed.
cd "$(dirname "$0")/../.." && exec timeout -k 2 120 node review/6/case.mjs
