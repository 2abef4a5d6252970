#!/usr/bin/env bash
# Plays the case with PagedReadCase; exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
folder=$(cd "$(dirname "$(readlink -f "$0")")" && pwd)
exec bash "$folder/../standins/play" PagedReadCase "$folder"
