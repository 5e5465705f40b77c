# Counts the withdrawn words in the identifiers of Rust sources: a line `CRATE WORD COUNT` for each. The list of words
# comes first, as the file `list`; `crates` are the folders that a count is kept for, separated by blanks.
# Comments and strings are not looked at. A word counts where it stands as whole parts of a name, so that `told` is
# found in `told_at` and in `ToldPeers`, and not in `toldest`.
FNR == 1 {
    reading_list = (FILENAME == list)
    crate = ""; open_string = ""
    count = split(crates, folders, " ")
    for (i = 1; i <= count; i++)
        if (index(FILENAME, folders[i] "/") == 1) crate = folders[i]
}
reading_list {
    if ($0 !~ /^#/ && NF) withdrawn[$1] = 1
    next
}
{
    line = without_strings($0)
    sub(/\/\/.*/, "", line)
    while (match(line, /[A-Za-z_][A-Za-z0-9_]*/)) {
        name = substr(line, RSTART, RLENGTH)
        line = substr(line, RSTART + RLENGTH)
        look_at(name)
    }
}
# A line without its strings, also those that began on an earlier line or go on after it.
function without_strings(line,    rest) {
    gsub(/\\\\|\\"|'"'/, "", line)
    if (open_string != "") {
        if (!index(line, open_string)) return ""
        line = substr(line, index(line, open_string) + length(open_string))
        open_string = ""
    }
    gsub(/r#"([^"]|"[^#])*"#/, "", line)
    if (match(line, /r#"/)) {
        open_string = "\"#"
        return substr(line, 1, RSTART - 1)
    }
    gsub(/"[^"]*"/, "", line)
    rest = line
    sub(/\/\/.*/, "", rest)
    if (match(rest, /"/)) {
        open_string = "\""
        return substr(rest, 1, RSTART - 1)
    }
    return line
}
# Counts each withdrawn word that stands in a name. What was found in a name is kept, since names come often.
function look_at(name,    parts, word) {
    if (!(name in known)) {
        parts = "_" in_snake_case(name) "_"
        known[name] = ""
        for (word in withdrawn)
            if (index(parts, "_" word "_")) known[name] = known[name] " " word
    }
    if (known[name] != "") add(known[name])
}
function add(words,    found, i, n) {
    n = split(words, found, " ")
    for (i = 1; i <= n; i++) counts[crate " " found[i]]++
}
function in_snake_case(name) {
    while (match(name, /[a-z0-9][A-Z]/))
        name = substr(name, 1, RSTART) "_" substr(name, RSTART + 1)
    return tolower(name)
}
END {
    for (key in counts) print key, counts[key]
}
