#!/usr/bin/env bash
# Writes days of faults of the control side into a folder: cuts of twenty seconds, races of operators whose answers are lost,
# losses right after replacements, hundreds of changes with restarts in between, and answers that come late or never.
# Each day ends with another final fault. lab/days/worst.sh FOLDER
set -euo pipefail
folder=$1
mkdir -p "$folder"
closings=(
    'kind = "power_off_all", down_s = 1.0'
    'kind = "wipe_after_ack", down_s = 1.0, how = "oldest"'
    'kind = "wipe_after_ack", down_s = 0.8, how = "timed"'
    'kind = "kill_all", down_s = 0.6'
    'kind = "power_off_all", down_s = 1.0, how = "taken"'
    'kind = "wipe_after_ack", down_s = 1.2, how = "taken"'
    'kind = "wipe_after_ack", down_s = 1.0'
)
number=0
# write_day NAME FAULTS PLAN
write_day() {
    cat > "$folder/$1.toml" <<DAY
[[day]]
name = "$1"
slot = "trouble"
seed = $((9000 + number))
closing = { ${closings[$((number % ${#closings[@]}))]} }
faults = [
$2]
plan = [
$3]
one = 0.9
zero = 0.4
goal = { floor = 0.1 }
labels = []
wall = 4.0
light = false
DAY
    number=$((number + 1))
}
lost_acks='  { at = 3.0, kind = "ack_lost", x = 0.8, for_s = 26.0 },'$'\n'
changes='  { at = 2.0, kind = "config_storm", for_s = 30.0, gap_s = 1.3 },'$'\n'

# 1. A control machine is cut off for twenty seconds.
for who in '' leader reader giver; do
    for what in race meet hard drain 'race hard'; do
        name="cut-${who:-any}-${what// /-}"
        write_day "$name" \
            "  { at = 4.0, kind = \"core_cut\", count = 1, for_s = 20.0, how = \"${who:+$who }$what\" },"$'\n'"$lost_acks" "$changes"
    done
done
for how in all near one_way split behind both seeds lure relieve oldest; do
    write_day "cut-$how" \
        "  { at = 4.0, kind = \"core_cut\", count = 1, for_s = 20.0, how = \"$how\" },"$'\n'"$lost_acks" "$changes"
done

# 2. Operators change the configuration at once, and most of their answers are lost.
for trouble in \
    'kind = "node_kill", on = "core", count = 1, for_s = 2.0, how = "power leader race hard"' \
    'kind = "node_freeze", on = "core", count = 1, for_s = 3.0, how = "leader race"' \
    'kind = "herd_kill", on = "core", share = 1.0, how = "power", for_s = 2.0' \
    'kind = "after_ack_wipe", for_s = 2.0' \
    'kind = "core_cut", count = 1, for_s = 3.0, how = "leader race"'; do
    entries="$lost_acks"
    for at in 6.0 13.0 20.0 26.0; do
        entries+="  { at = $at, $trouble },"$'\n'
    done
    write_day "race-$number" "$entries" \
        '  { at = 4.0, kind = "config_race", count = 16, gap_s = 1.5 },'$'\n''  { at = 5.0, kind = "bad_config", count = 6, gap_s = 3.0 },'$'\n'
done

# 3. A loss right after a replacement, a repair or a member that leaves.
for repair in \
    'kind = "replace_core", x = 1.0' \
    'kind = "replace_core", x = 1.0, how = "oldest"' \
    'kind = "replace_core", how = "planned"' \
    'kind = "after_ack_wipe", for_s = 1.0, how = "oldest"' \
    'kind = "roll_term", on = "core", share = 1.0, gap_s = 1.0'; do
    for loss in \
        'kind = "after_ack_wipe", for_s = 2.0' \
        'kind = "node_kill", on = "core", count = 1, for_s = 4.0, how = "power leader"' \
        'kind = "herd_kill", on = "core", share = 1.0, how = "power", for_s = 2.0'; do
        entries=""
        for at in 4 14 24; do
            entries+="  { at = $at.0, $repair },"$'\n'
            entries+="  { at = $((at + 1)).2, $loss },"$'\n'
        done
        write_day "second-loss-$number" "$entries" "$changes"
    done
done

# 4. Hundreds of changes, with members that miss many of them.
for trouble in \
    'kind = "node_kill", on = "core", count = 1, for_s = 5.0, how = "power"' \
    'kind = "node_kill", on = "core", count = 1, how = "leader"' \
    'kind = "after_ack_wipe", for_s = 3.0' \
    'kind = "core_cut", count = 1, for_s = 4.0' \
    'kind = "disk_full", count = 1, for_s = 4.0' \
    'kind = "replace_core", x = 2.0'; do
    entries=""
    for at in 5.0 12.0 19.0 26.0; do
        entries+="  { at = $at, $trouble },"$'\n'
    done
    write_day "changes-$number" "$entries" '  { at = 1.0, kind = "config_storm", for_s = 31.0, gap_s = 0.1 },'$'\n'
done

# 5. Answers that come late or never, connections that are reset, lives that are replaced at their addresses.
for trouble in \
    'kind = "applied_late", x = 0.5, for_s = 6.0, how = "orders"' \
    'kind = "applied_late", x = 0.5, for_s = 6.0, how = "grants"' \
    'kind = "applied_late", x = 0.6, for_s = 6.0, how = "all"' \
    'kind = "srv_grey", share = 0.2, x = 1.0, for_s = 6.0, how = "mute"' \
    'kind = "srv_grey", share = 0.2, x = 1.0, for_s = 6.0, how = "reset"' \
    'kind = "node_cut", share = 0.25, for_s = 6.0, how = "servers"' \
    'kind = "scale_in", share = 0.2, how = "spot"'; do
    entries=""
    for at in 4 13 22; do
        entries+="  { at = $at.0, $trouble },"$'\n'
        entries+="  { at = $((at + 1)).0, kind = \"reset_conns\", share = 1.0, x = 1.0 },"$'\n'
        entries+="  { at = $((at + 2)).0, kind = \"node_kill\", on = \"core\", count = 1, how = \"giver\" },"$'\n'
        entries+="  { at = $((at + 4)).0, kind = \"srv_crash\", share = 0.15, for_s = 2.0 },"$'\n'
    done
    write_day "answers-$number" "$entries" "$changes"
done

# What the rules on cancels, ends, counts and lasting tasks ask for: calm stretches between many cancels and full disks.
write_day "calm-between" \
    '  { at = 3.0, kind = "give_up", share = 0.5, for_s = 6.0 },
  { at = 12.0, kind = "disk_full", count = 1, for_s = 3.0 },
  { at = 18.0, kind = "herd_kill", on = "core", share = 1.0 },
  { at = 26.0, kind = "give_up", share = 0.5, for_s = 5.0 },
' "$changes"

# Processes that start while their disks are full, slow or silent.
for disk in 'kind = "disk_full", count = 2' 'kind = "disk_slow", count = 2, x = 40.0' 'kind = "disk_stall", count = 2'; do
    entries=""
    for at in 4 14 24; do
        entries+="  { at = $at.0, $disk, for_s = 5.0 },"$'\n'
        entries+="  { at = $((at + 1)).0, kind = \"herd_kill\", on = \"core\", share = 1.0 },"$'\n'
        entries+="  { at = $((at + 2)).5, kind = \"node_kill\", on = \"core\", count = 1, for_s = 1.0, how = \"power\" },"$'\n'
    done
    write_day "disk-at-start-$number" "$entries" "$changes"
done
echo "$number days in $folder"
