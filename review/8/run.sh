#!/bin/bash
# Plays the case "large-values"; TROUBLE=0 plays it without the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
exec bash "$folder/../play-2.sh" "$folder" large-values
