#!/usr/bin/env bash
# Writes a day file for every three pairs of troubles into a folder: each pair strikes together, the second trouble 0.3 s
# after the first (while views change and roles are claimed), with ten seconds between pairs. lab/days/pairs.sh FOLDER
set -euo pipefail
folder=$1
mkdir -p "$folder"
kinds=(
    'kind = "node_kill", on = "core", count = 1, how = "leader"'
    'kind = "node_kill", on = "core", count = 1, for_s = 3.0, how = "power leader"'
    'kind = "node_freeze", on = "core", count = 1, for_s = 3.0, how = "leader"'
    'kind = "core_cut", count = 1, for_s = 4.0, how = "leader"'
    'kind = "core_cut", count = 1, for_s = 4.0, how = "one_way"'
    'kind = "core_cut", count = 1, for_s = 4.0, how = "both"'
    'kind = "herd_kill", on = "core", share = 1.0'
    'kind = "herd_kill", on = "core", share = 1.0, how = "power", for_s = 3.0'
    'kind = "after_ack_kill", for_s = 2.0, how = "taken"'
    'kind = "after_ack_wipe", for_s = 2.0'
    'kind = "after_ack_wipe", for_s = 2.0, how = "oldest"'
    'kind = "replace_core"'
    'kind = "clock_step", share = 0.5, x = 4000.0, for_s = 4.0, how = "back"'
    'kind = "clock_step", share = 0.5, x = 4000.0, for_s = 4.0, how = "ahead"'
    'kind = "disk_slow", count = 1, x = 30.0, for_s = 4.0'
    'kind = "disk_stall", count = 1, for_s = 3.0'
    'kind = "disk_full", count = 1, for_s = 4.0'
    'kind = "node_slow", on = "core", share = 0.5, x = 5.0, for_s = 4.0'
    'kind = "reset_conns", share = 1.0, x = 1.0'
    'kind = "hup", share = 1.0, gap_s = 1.0'
    'kind = "seed_turnover"'
    'kind = "node_cut", share = 0.2, for_s = 4.0, how = "servers"'
    'kind = "srv_crash", share = 0.2, for_s = 3.0, how = "dark"'
    'kind = "srv_crash", share = 0.2, how = "gone"'
    'kind = "srv_grey", share = 0.15, x = 1.0, for_s = 5.0, how = "hang"'
    'kind = "srv_grey", share = 0.15, x = 1.0, for_s = 5.0, how = "errors"'
    'kind = "applied_late", x = 0.3, for_s = 4.0, how = "all"'
    'kind = "scale_in", share = 0.15, how = "spot"'
    'kind = "ack_lost", x = 0.7, for_s = 5.0'
    'kind = "config_race", count = 3, gap_s = 0.5'
    'kind = "bad_config", count = 3, gap_s = 0.5'
    'kind = "burst", x = 2.5, for_s = 3.0'
    'kind = "give_up", share = 0.5, for_s = 4.0'
)
closings=('power_off_all' 'wipe_after_ack' 'kill_all')
number=0
held=()
write_day() {
    local name entries="" at=5 pair
    name=$(printf 'pairs-%03d' "$number")
    for pair in "${held[@]}"; do
        entries+="  { at = $at.0, ${kinds[${pair%,*}]} },"$'\n'
        entries+="  { at = $at.3, ${kinds[${pair#*,}]} },"$'\n'
        at=$((at + 10))
    done
    cat > "$folder/$name.toml" <<DAY
[[day]]
name = "$name"
slot = "trouble"
seed = $((7000 + number))
closing = { kind = "${closings[$((number % 3))]}", down_s = 0.8 }
faults = [
$entries]
plan = [
  { at = 2.0, kind = "config_storm", for_s = 30.0, gap_s = 1.5 },
]
one = 0.9
zero = 0.4
goal = { floor = 0.2 }
labels = []
wall = 4.0
light = false
DAY
    number=$((number + 1))
    held=()
}
for ((one = 0; one < ${#kinds[@]}; one++)); do
    for ((other = one + 1; other < ${#kinds[@]}; other++)); do
        held+=("$one,$other")
        if [ "${#held[@]}" -eq 3 ]; then write_day; fi
    done
done
if [ "${#held[@]}" -gt 0 ]; then write_day; fi
echo "$number days in $folder"
